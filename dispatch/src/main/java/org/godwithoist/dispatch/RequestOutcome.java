package org.godwithoist.dispatch;

/** How a request ended for its caller. */
public enum RequestOutcome {
    /** A target's complete response was sent to the caller. */
    ANSWERED,
    /** A target's failure response was sent to the caller. */
    FAILED,
    /** The daemon refused the request. */
    REFUSED,
    /** The response broke off after a part of it was sent to the caller. */
    BROKEN,
    /** The caller disconnected before the response was complete. */
    LEFT,
    /**
     * The daemon closed the connection to make room for other requests, or because there was no
     * memory for the response.
     */
    CLOSED_FOR_MEMORY
}
