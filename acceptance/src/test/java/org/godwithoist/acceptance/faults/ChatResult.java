package org.godwithoist.acceptance.faults;

import java.time.Duration;
import java.util.List;

/**
 * Result of one chat request as the caller observed it.
 *
 * @param request id of the request
 * @param outcome how it ended
 * @param attempts attempts in order, each at one daemon
 * @param duration duration from the first attempt to the end
 */
record ChatResult(String request, Outcome outcome, List<Attempt> attempts, Duration duration) {
    /** How a request ended. */
    enum Outcome {
        /** The response arrived completely, with each token once. */
        COMPLETE,
        /** The text does not match the prompt, or an offset was duplicated or out of order. */
        WRONG,
        /** No complete response arrived. */
        LOST
    }

    /** How an attempt ended. */
    enum End {
        /** The end marker of the response arrived. */
        DONE,
        /** The daemon responded with an error status. */
        REJECTED,
        /** The daemon did not accept the connection, so nothing was sent. */
        NOT_CONNECTED,
        /** The connection or the response was cut after the request had been sent. */
        CUT
    }

    /**
     * One attempt.
     *
     * @param end how the attempt ended
     * @param detail status and body of a rejection, or the failure
     * @param runState run state of a rejection, else empty
     * @param offset last offset received by the end of the attempt, 0 if none
     */
    record Attempt(String daemon, End end, String detail, String runState, long offset) {}

    boolean has(End end) {
        return attempts.stream().anyMatch(a -> a.end() == end);
    }
}
