package org.godwithoist.quarantine;

import java.util.Map;
import java.util.Set;

/**
 * What a daemon knows of one suspect, for the other daemons. The evidence of several daemons is
 * merged by union, in any order and any number of times.
 *
 * @param suspectId id of the suspect
 * @param answered whether a target has responded to a request with the suspect
 * @param crashes crashes that count against the suspect
 * @param cleared crashes that do not count any more, because a target began to respond to a request
 *     with the suspect after them and went on
 */
public record SuspectEvidence(
        SuspectId suspectId,
        boolean answered,
        Map<CrashId, CrashReport> crashes,
        Set<CrashId> cleared) {
    /** Copies the collections. */
    public SuspectEvidence {
        crashes = Map.copyOf(crashes);
        cleared = Set.copyOf(cleared);
    }
}
