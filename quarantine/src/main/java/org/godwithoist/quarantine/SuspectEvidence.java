package org.godwithoist.quarantine;

import java.util.Map;
import java.util.Set;
import org.godwithoist.targets.PromptPartId;

/**
 * What a daemon knows of one suspected prompt part, for the other daemons. The evidence of several
 * daemons is merged by union, in any order and any number of times.
 *
 * @param part the part
 * @param answered whether a target has responded to a prompt with the part
 * @param crashes crashes that count against the part
 * @param cleared crashes that do not count any more, because a target began to respond to a prompt
 *     with the part after them and went on
 */
public record PartEvidence(
        PromptPartId part,
        boolean answered,
        Map<CrashId, CrashReport> crashes,
        Set<CrashId> cleared) {
    /** Copies the collections. */
    public PartEvidence {
        crashes = Map.copyOf(crashes);
        cleared = Set.copyOf(cleared);
    }
}
