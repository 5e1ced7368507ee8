package org.godwithoist.chat;

import java.util.Optional;
import java.util.TreeMap;

/**
 * Puts the pieces of one attempt into order: drops repeated ones and holds back those that came
 * before their predecessor. Not thread-safe.
 */
final class PieceOrder {
    /** More pieces out of order mean that pieces were lost. */
    private static final int MAX_HELD = 64;

    private final TreeMap<Long, EngineEvent.Piece> held = new TreeMap<>();
    private long last;

    /**
     * Takes a piece.
     *
     * @throws EngineException if too many pieces wait for a missing one
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

    /** Returns the next piece in order, or empty if it has not come yet. */
    Optional<EngineEvent.Piece> poll() {
        EngineEvent.Piece next = held.remove(last + 1);
        if (next != null) {
            last++;
        }
        return Optional.ofNullable(next);
    }

    /** Returns whether later pieces wait for a missing one. */
    boolean hasGap() {
        return !held.isEmpty();
    }

    /** Forgets the pieces held back, because a new stream sends them again. */
    void restart() {
        held.clear();
    }

    /** Returns the offset of the last piece in order. */
    long last() {
        return last;
    }
}
