package org.godwithoist.quarantine;

/** Whether targets are known to have responded to prompts with a part. */
enum Reputation {
    /** No response is known. */
    UNANSWERED(3),
    /**
     * Targets have responded, so that the crashes may well have another cause. Refusing a part that
     * many requests share does more harm than two more crashes.
     */
    ANSWERED(5);

    private final int crashesToQuarantine;

    Reputation(int crashesToQuarantine) {
        this.crashesToQuarantine = crashesToQuarantine;
    }

    /** Returns the number of crashes from which a part is quarantined. */
    int crashesToQuarantine() {
        return crashesToQuarantine;
    }
}
