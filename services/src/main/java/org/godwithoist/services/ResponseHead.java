package org.godwithoist.services;

import java.util.List;
import org.godwithoist.core.error.RunState;

/**
 * Status and headers of a response.
 *
 * @param status HTTP status
 * @param headers headers in the order received
 */
public record ResponseHead(int status, List<Header> headers) {
    private static final int FIRST_SERVER_ERROR = 500;

    /** Copies the list of headers. */
    public ResponseHead {
        headers = List.copyOf(headers);
    }

    /**
     * Returns whether the service ran the request to its end. After a server error it is unknown
     * how far the service got.
     */
    public RunState runState() {
        return status < FIRST_SERVER_ERROR ? RunState.RAN : RunState.UNKNOWN;
    }
}
