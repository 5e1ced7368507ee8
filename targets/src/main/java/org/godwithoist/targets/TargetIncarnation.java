package org.godwithoist.targets;

import org.godwithoist.core.id.TargetId;

/**
 * One start of a target. A target that starts again keeps its id and becomes another incarnation.
 *
 * @param id the target
 * @param startedAt time of the start as the target states it; 0 if it is unknown
 */
public record TargetIncarnation(TargetId id, long startedAt) {
    /** Returns whether the time of the start is known, so that incarnations can be told apart. */
    public boolean isKnown() {
        return startedAt != 0;
    }

    /** Returns whether the times of both starts are known and differ. */
    public boolean isKnownToDiffer(TargetIncarnation other) {
        return isKnown() && other.isKnown() && !equals(other);
    }
}
