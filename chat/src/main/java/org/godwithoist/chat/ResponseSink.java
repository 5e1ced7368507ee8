package org.godwithoist.chat;

/**
 * Receives a response on behalf of the caller; there is one implementation for each encoding.
 * Methods block while the caller is slow, so that the engine's stream is read no faster than the
 * caller reads.
 */
public interface ResponseSink {
    /**
     * Sends a chunk to the caller.
     *
     * @param offset position in the complete response, from 1; differs from the engine's offset
     *     when an earlier engine sent the beginning
     * @return false if the caller has disconnected
     */
    boolean chunk(long offset, EngineEvent.Chunk chunk);

    /**
     * Signals that the request is in progress but has no new text.
     *
     * @return false if the caller has disconnected
     */
    boolean keepAlive();

    /** Ends a complete response. */
    void end(ResponseEnd end);

    /**
     * Makes this and all later calls return immediately, because the caller has reconnected
     * elsewhere. May be called by any thread.
     */
    void abandon();
}
