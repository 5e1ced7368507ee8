package org.godwithoist.chat;

import org.godwithoist.accounting.Usage;

/** One event of an engine's stream. */
public sealed interface EngineEvent {
    /**
     * A piece of the answer.
     *
     * @param offset position in the engine's stream, from 1
     * @param text new text
     * @param data the event as the engine sent it, for the caller
     * @param plainText whether the text is all that the piece adds; an answer with other parts, for
     *     example tool calls, cannot be continued by another engine
     */
    record Piece(long offset, String text, String data, boolean plainText) implements EngineEvent {}

    /** The engine is alive but has no new text. */
    record KeepAlive() implements EngineEvent {}

    /**
     * The answer is complete.
     *
     * @param usage what the engine counted
     * @param finishReason why the engine stopped
     */
    record End(Usage usage, String finishReason) implements EngineEvent {}
}
