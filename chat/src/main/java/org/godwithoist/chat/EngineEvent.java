package org.godwithoist.chat;

import org.godwithoist.accounting.Usage;

/** One event of an engine's stream. */
public sealed interface EngineEvent {
    /**
     * A piece of the answer.
     *
     * @param offset position in the answer, from 1
     * @param text new text
     * @param data the event as the engine sent it, for the caller
     */
    record Piece(long offset, String text, String data) implements EngineEvent {}

    /** The engine is alive but has no new text. */
    record KeepAlive() implements EngineEvent {}

    /**
     * The answer is complete.
     *
     * @param usage what the engine counted
     */
    record End(Usage usage) implements EngineEvent {}
}
