package org.godwithoist.targets;

/** Effect of one attempt on the health of its target. */
public enum Verdict {
    /** The target responded correctly. */
    GOOD,
    /** The target failed the request, broke off its response or sent an invalid one. */
    FAILED,
    /** The target rejected the request although it has free capacity. */
    REJECTED,
    /** The target could not be reached, or another target has its address now. */
    UNREACHABLE,
    /**
     * The attempt ended for a reason unrelated to the target, for example because the caller
     * disconnected.
     */
    NEUTRAL;

    /** Returns whether the attempt counts as a failure of the target. */
    public boolean isTargetFailure() {
        return this == FAILED || this == REJECTED || this == UNREACHABLE;
    }
}
