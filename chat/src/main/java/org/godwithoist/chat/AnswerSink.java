package org.godwithoist.chat;

import org.godwithoist.accounting.Usage;

/**
 * Where an answer goes. One front implements it for each encoding; methods block while the caller
 * is slow.
 */
public interface AnswerSink {
    /**
     * Sends a piece to the caller.
     *
     * @return false if the caller is gone
     */
    boolean piece(EngineEvent.Piece piece);

    /** Ends the answer. */
    void end(Usage usage);
}
