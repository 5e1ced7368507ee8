package org.godwithoist.chat;

import org.godwithoist.accounting.Usage;

/** One event of an engine's stream. */
public sealed interface EngineEvent {
    /**
     * A chunk of the response.
     *
     * @param offset position in the engine's stream, from 1
     * @param text new text; may be empty
     * @param data the event as the engine sent it, to be forwarded to the caller
     * @param plainText whether the chunk adds nothing but text; a response with other fields, for
     *     example tool calls, cannot be continued by another engine
     */
    record Chunk(long offset, String text, String data, boolean plainText) implements EngineEvent {}

    /** The engine is processing the request but has no new text. */
    record KeepAlive() implements EngineEvent {}

    /**
     * The response is complete.
     *
     * @param usage usage reported by the engine
     * @param finishReason why the engine stopped
     */
    record End(Usage usage, String finishReason) implements EngineEvent {}
}
