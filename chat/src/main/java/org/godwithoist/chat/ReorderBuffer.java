package org.godwithoist.chat;

import java.util.Optional;
import java.util.TreeMap;

/**
 * Restores the order of one attempt's chunks: drops duplicates and holds back those that arrive
 * before their predecessor. Not thread-safe.
 */
final class ReorderBuffer {
    /** More chunks out of order mean that chunks were lost. */
    private static final int MAX_HELD_CHUNKS = 64;

    private final TreeMap<Long, EngineEvent.Chunk> held = new TreeMap<>();
    private long lastOffset;

    /**
     * Adds a chunk.
     *
     * @throws EngineException if too many chunks wait for a missing one
     */
    void add(EngineEvent.Chunk chunk) {
        if (chunk.offset() <= lastOffset) {
            return;
        }
        held.putIfAbsent(chunk.offset(), chunk);
        if (held.size() > MAX_HELD_CHUNKS) {
            throw new EngineException(
                    EngineException.Kind.CONNECTION_LOST,
                    "more than "
                            + MAX_HELD_CHUNKS
                            + " later chunks have arrived, but chunk "
                            + (lastOffset + 1)
                            + " is missing");
        }
    }

    /** Returns the next chunk in order, or empty if it has not arrived yet. */
    Optional<EngineEvent.Chunk> poll() {
        EngineEvent.Chunk next = held.remove(lastOffset + 1);
        if (next != null) {
            lastOffset++;
        }
        return Optional.ofNullable(next);
    }

    /** Returns whether later chunks wait for a missing one. */
    boolean hasGap() {
        return !held.isEmpty();
    }

    /** Discards the chunks held back, because a new stream sends them again. */
    void restart() {
        held.clear();
    }

    /** Returns the offset of the last chunk returned by {@link #poll}; 0 if there was none. */
    long lastOffset() {
        return lastOffset;
    }
}
