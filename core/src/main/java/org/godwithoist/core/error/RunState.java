package org.godwithoist.core.error;

/** Whether a target ran a request, as reported to the caller. */
public enum RunState {
    /** No target has run or will run the request. */
    NOT_RUN("not_run"),
    /** A target ran the request to completion. */
    RAN("ran"),
    /** A target may have run the request, partly or completely. */
    UNKNOWN("unknown");

    private final String wireName;

    RunState(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name used in headers and JSON. */
    public String wireName() {
        return wireName;
    }

    /** Returns whether the request can be retried without the risk of running it twice. */
    public boolean allowsRetry() {
        return this == NOT_RUN;
    }
}
