package org.godwithoist.core.error;

/** Whether a request ran at a target, as told to the caller. */
public enum RunState {
    /** Certain that no target ran or will run the request. */
    NOT_RUN("not_run"),
    /** Certain that a target ran the request to its end. */
    RAN("ran"),
    /** A target may have run the request, in part or whole. */
    UNKNOWN("unknown");

    private final String wireName;

    RunState(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name used in headers and JSON. */
    public String wireName() {
        return wireName;
    }

    /** Returns whether the same request may be sent to a target again without running twice. */
    public boolean allowsRepeat() {
        return this == NOT_RUN;
    }
}
