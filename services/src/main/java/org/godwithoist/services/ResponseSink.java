package org.godwithoist.services;

import org.godwithoist.core.error.RunState;

/** Receives the response on behalf of the caller. */
public interface ResponseSink {
    /** Sends status and headers; called once, before the body. */
    void head(ResponseHead head, RunState runState);

    /**
     * Sends a chunk of the body and waits until the connection has accepted it.
     *
     * @return false if the caller has disconnected
     */
    boolean body(byte[] chunk);

    /** Ends a complete response. */
    void end();
}
