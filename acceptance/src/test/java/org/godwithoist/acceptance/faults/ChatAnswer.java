package org.godwithoist.acceptance.faults;

import java.time.Duration;
import java.util.List;

/**
 * What a caller saw of one chat request.
 *
 * @param request id of the request
 * @param outcome how it ended
 * @param attempts what happened at each daemon, in order
 * @param took time from the first attempt to the end
 */
record ChatAnswer(String request, Outcome outcome, List<Attempt> attempts, Duration took) {
    /** How a request ended. */
    enum Outcome {
        /** The whole answer arrived, each token once. */
        WHOLE,
        /** The text is not the answer to this prompt, or an offset came twice or out of order. */
        WRONG,
        /** No whole answer arrived. */
        LOST
    }

    /** How an attempt ended. */
    enum End {
        /** The end marker of the answer arrived. */
        DONE,
        /** The daemon answered with an error. */
        REFUSED,
        /** The daemon did not accept the connection, so nothing was sent. */
        NOT_CONNECTED,
        /** The connection or the answer broke off after the request was sent. */
        CUT
    }

    /**
     * One attempt.
     *
     * @param daemon the daemon
     * @param end how the attempt ended
     * @param detail status and run state of a refusal, or the failure
     * @param runState run state of a refusal, else empty
     * @param offset last offset received so far
     */
    record Attempt(String daemon, End end, String detail, String runState, long offset) {}

    boolean has(End end) {
        return attempts.stream().anyMatch(a -> a.end() == end);
    }
}
