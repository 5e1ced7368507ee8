package org.godwithoist.services;

import java.util.List;
import org.godwithoist.core.error.RunState;

/**
 * Status and headers of an answer.
 *
 * @param status HTTP status
 * @param headers headers in their order
 */
public record AnswerHead(int status, List<Header> headers) {
    private static final int FIRST_SERVER_ERROR = 500;

    /** Copies the list. */
    public AnswerHead {
        headers = List.copyOf(headers);
    }

    /**
     * Returns whether the service ran the call to its end. A server error does not tell how far the
     * service got.
     */
    public RunState runState() {
        return status < FIRST_SERVER_ERROR ? RunState.RAN : RunState.UNKNOWN;
    }
}
