package org.godwithoist.dispatch;

/**
 * What shows whether a response has reached its end, and what follows from it. All paths that read
 * a response of a target judge its end by this list.
 */
public enum EndEvidence {
    /** The target has stated the end, and nothing contradicts it. */
    STATED(Meaning.WHOLE, true),
    /**
     * A copy of the response that follows it on the connection and states its end has the same size
     * or bytes.
     */
    EQUAL_COPY(Meaning.WHOLE, true),
    /** A copy of the response whose end is stated; it takes the place of the response. */
    WHOLE_COPY(Meaning.WHOLE, true),
    /** Another target has stated the end of the same bytes. */
    EQUAL_RESPONSE(Meaning.WHOLE, true),
    /**
     * The end is stated, but the second half of the body repeats the first: the target may have
     * written its body twice.
     */
    REPEATED_BODY(Meaning.DOUBTFUL, false),
    /**
     * The end is stated, and no body of the route has such a size. Bodies such as lists may grow at
     * once, so the response counts unless another target has a different one.
     */
    UNUSUAL_STATED_SIZE(Meaning.DOUBTFUL, true),
    /**
     * A copy that follows on the connection has the same bytes, but does not state its end either:
     * both may be cut at the same place.
     */
    EQUAL_UNSTATED_COPY(Meaning.DOUBTFUL, true),
    /** The connection was closed in an orderly way, and the target is still there. */
    ORDERLY_CLOSE(Meaning.DOUBTFUL, true),
    /**
     * A response with another signature, to no other request, follows on the connection. It tells
     * nothing about this one, which counts like one before an orderly close.
     */
    FOREIGN_RESPONSE(Meaning.DOUBTFUL, true),
    /** The connection ended inside a copy, so that its end is not the end of the response. */
    PARTIAL_COPY(Meaning.DOUBTFUL, false),
    /** A response to another request, or to none, begins where the response ends. */
    OTHER_RESPONSE(Meaning.DOUBTFUL, false),
    /**
     * The end is not stated, and the response began before the request was sent completely: the
     * target may have given up on both.
     */
    EARLY_CLOSE(Meaning.CUT, false),
    /**
     * The body is longer than what is buffered, its end is not stated, and nothing is known of the
     * other bodies of its route. The rest was not read, because nothing has been sent to the caller
     * yet and another target can be asked.
     */
    UNKNOWN_LENGTH(Meaning.DOUBTFUL, false),
    /** The end is not stated, and no body of the route has such a size. */
    UNUSUAL_SIZE(Meaning.CUT, false),
    /** A copy that follows on the connection begins like the response and is longer. */
    LONGER_COPY(Meaning.CUT, false),
    /** Another response begins before the stated end. */
    RESPONSE_INSIDE(Meaning.CUT, false);

    private enum Meaning {
        WHOLE,
        DOUBTFUL,
        CUT
    }

    private final Meaning meaning;
    private final boolean mayBeWhole;

    EndEvidence(Meaning meaning, boolean mayBeWhole) {
        this.meaning = meaning;
        this.mayBeWhole = mayBeWhole;
    }

    /** Returns whether the response is known to be whole. */
    public boolean isWhole() {
        return meaning == Meaning.WHOLE;
    }

    /** Returns whether the response is known to be incomplete. */
    public boolean isCut() {
        return meaning == Meaning.CUT;
    }

    /**
     * Returns whether the response may be whole, although nothing shows it. Sound targets may end
     * all their responses by closing the connection.
     */
    public boolean mayBeWhole() {
        return mayBeWhole;
    }
}
