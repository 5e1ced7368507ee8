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

    /**
     * Sends a response whose target has not stated where its body ends, in place of all other
     * methods. It tells the caller no more than the target did.
     */
    default void unstated(ResponseHead head, RunState runState, byte[] body) {
        head(head, runState);
        body(body);
        end();
    }

    /** Ends a response whose end the target has not stated, after its head was sent. */
    default void endUnstated() {
        end();
    }
}
