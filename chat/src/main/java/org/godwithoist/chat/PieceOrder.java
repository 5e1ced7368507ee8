package org.godwithoist.chat;

import java.util.Optional;
import java.util.TreeMap;

/**
 * Restores the order of one attempt's chunks: drops duplicates and holds back those that arrive
 * before their predecessor. Not thread-safe.
 */
final class PieceOrder {
    /** More chunks out of order mean that chunks were lost. */
    private static final int MAX_HELD = 64;

    private final TreeMap<Long, EngineEvent.Piece> held = new TreeMap<>();
    private long last;

    /**
     * Adds a chunk.
     *
     * @throws EngineException if too many chunks wait for a missing one
     */
    void add(EngineEvent.Piece piece) {
        if (piece.offset() <= last) {
            return;
        }
        held.putIfAbsent(piece.offset(), piece);
        if (held.size() > MAX_HELD) {
            throw new EngineException(
                    EngineException.Kind.LOST, "piece " + (last + 1) + " is missing");
        }
    }

    /** Returns the next chunk in order, or empty if it has not arrived yet. */
    Optional<EngineEvent.Piece> poll() {
        EngineEvent.Piece next = held.remove(last + 1);
        if (next != null) {
            last++;
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
    long last() {
        return last;
    }
}
