package org.godwithoist.standins.edge;

/** Injected faults of a runner stand-in. */
public enum RunnerFault {
    /** No fault. */
    NONE,
    /** Rejects the request with status 503 without running it. */
    SHED,
    /** Rejects the request without running it and asks for a pause of two seconds. */
    SHED_WITH_PAUSE,
    /** Runs the request and states in the response that the runner is leaving. */
    LEAVING,
    /** Runs the request and responds with status 500. */
    FAIL,
    /** Runs the request and closes the connection without a response. */
    LOSE_ANSWER,
    /** Runs the request and closes the connection in the middle of the second event. */
    BREAK_MIDWAY,
    /** Runs the request and sends nothing; the connection stays open. */
    HANG,
    /** Runs the request and sends the head of its response only; the connection stays open. */
    HEAD_ONLY,
    /** Sends the response to another request first. */
    STRAY_ANSWER,
    /** Sends the response to another request and then nothing; the connection stays open. */
    STRAY_ANSWER_ONLY,
    /** Responds without a signature. */
    UNSIGNED,
    /** Sends a second response to the same request after the complete response. */
    SECOND_ANSWER,
    /** Runs the request, sends an event and then single bytes of the next one, without its end. */
    DRIBBLE,
    /** Runs the request and sends its events with long pauses. */
    SLOW_EVENTS,
    /** Runs the request and sends header fields until the connection is closed. */
    ENDLESS_HEAD,
    /** Runs the request and sends a body without a length until the connection is closed. */
    ENDLESS_BODY,
    /** Runs the request and sends one event that does not end until the connection is closed. */
    ENDLESS_EVENT,
    /** Sends bytes that are not an HTTP response after the complete response. */
    EXTRA_BYTES,
    /** Sends a response with neither a length nor chunks, which ends with the connection. */
    UNFRAMED,
    /** Like {@link #UNFRAMED}, but a stream ends in the middle of the second event. */
    UNFRAMED_BROKEN,
    /** Like {@link #UNFRAMED}, but the connection ends after the head. */
    UNFRAMED_EMPTY,
    /**
     * Like {@link #UNFRAMED}, but only half of the events or of the text is sent, and nothing else
     * happens to the runner.
     */
    UNFRAMED_HALF,
    /** Like {@link #UNFRAMED}, but the runner ends like a killed process between two events. */
    UNFRAMED_CRASH,
    /**
     * Like {@link #UNFRAMED_CRASH}, but the connection ends shortly before the runner stops to
     * listen; it answers nothing in between.
     */
    UNFRAMED_SLOW_CRASH,
    /** Like {@link #UNFRAMED_CRASH}, in the body of a response with status 500. */
    UNFRAMED_FAILURE_CRASH,
    /** Ends a chunked stream properly, but in the middle of the second event. */
    INCOMPLETE_EVENT,
    /**
     * Closes the connection in the middle of a chunk's size, of which only the leading zero is
     * sent. The body is incomplete.
     */
    TRUNCATED_CHUNK_SIZE,
    /** Sends the complete body in chunks, but closes in the middle of the last chunk. */
    TRUNCATED_LAST_CHUNK,
    /** Runs the request and closes the connection in the middle of the head of the response. */
    TRUNCATED_HEAD,
    /** Runs the request, but first sends the rejection of an earlier request once more. */
    REPEATED_REJECTION,
    /** Runs the request, but states without the id of the request that it did not. */
    REJECTION_WITHOUT_ID
}
