package org.godwithoist.quarantine;

/** How likely a suspect that is present in several crashes is their cause. */
enum Reputation {
    /**
     * No response to the part is known, and all crashes came from the same prompt. Only this prompt
     * is affected by the quarantine.
     */
    SUSPICIOUS(2),
    /**
     * Targets have responded to the part, or it was present in different prompts, so that the
     * crashes may have another cause. Refusing a part that many requests share does more harm than
     * a few more crashes.
     */
    COMMON(5),
    /**
     * A request to which no response is known. Its quarantine affects only this request and its
     * repeats. It comes after the parts, because a part that is to blame explains the crashes of
     * each request that contains it.
     */
    SINGLE_REQUEST(2),
    /**
     * A request to which targets have responded, for example a poll that all callers of a workspace
     * send. It is likely to run wherever a target crashes.
     */
    ANSWERED_REQUEST(5);

    /** A sound request is hardly present in so many crashes without one response in between. */
    private static final int CERTAINTY_FACTOR = 2;

    private final int crashesToQuarantine;

    Reputation(int crashesToQuarantine) {
        this.crashesToQuarantine = crashesToQuarantine;
    }

    /** Returns the number of crashes from which a suspect is quarantined. */
    int crashesToQuarantine() {
        return crashesToQuarantine;
    }

    /**
     * Returns the number of crashes from which a request is quarantined even if another one was
     * present in as many of them.
     */
    int certainCrashes() {
        return CERTAINTY_FACTOR * crashesToQuarantine;
    }
}
