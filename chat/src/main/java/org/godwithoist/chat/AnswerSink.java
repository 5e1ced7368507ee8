package org.godwithoist.chat;

/**
 * Where an answer goes. One front implements it for each encoding. Methods block while the caller
 * is slow, so that the engine's stream is read no faster than the caller reads.
 */
public interface AnswerSink {
    /**
     * Sends a piece to the caller.
     *
     * @param offset position in the whole answer, from 1; differs from the engine's offset when an
     *     earlier engine sent the beginning
     * @return false if the caller is gone
     */
    boolean piece(long offset, EngineEvent.Piece piece);

    /**
     * Tells that the request is alive but has no new text.
     *
     * @return false if the caller is gone
     */
    boolean keepAlive();

    /** Ends the answer. */
    void end(AnswerEnd end);

    /**
     * Makes this and all later calls return at once, because the caller reconnected elsewhere. May
     * be called by any thread.
     */
    void abandon();
}
