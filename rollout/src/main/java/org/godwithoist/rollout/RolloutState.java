package org.godwithoist.rollout;

/** State of an order. */
public enum RolloutState {
    /** The version is on trial, or its share of the traffic rises. */
    IN_PROGRESS,
    /** The version is the one in use; the old targets may stop. */
    COMPLETED,
    /** The version receives no requests; its targets may stop. */
    REVERTED;

    /** Returns whether the state never changes again. */
    public boolean isTerminal() {
        return this != IN_PROGRESS;
    }
}
