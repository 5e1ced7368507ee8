package org.godwithoist.membership.wire;

import java.util.BitSet;
import java.util.Optional;

/**
 * Records which messages of one sender have arrived. Messages may arrive out of order by less than
 * {@link #WINDOW_SIZE}; older ones are rejected because it is unknown whether they arrived before.
 * Thread-safe.
 */
final class ReplayWindow {
    /** Number of sequence numbers that are tracked; a peer has far fewer calls in progress. */
    static final int WINDOW_SIZE = 1024;

    private final BitSet seen = new BitSet(WINDOW_SIZE);
    private long incarnation;
    private long highest;

    /** Records a message whose signature is valid; returns the reason if it must be dropped. */
    synchronized Optional<Rejection> accept(long senderIncarnation, long sequence) {
        if (senderIncarnation < incarnation) {
            return Optional.of(Rejection.OLD_SENDER);
        }
        if (senderIncarnation > incarnation) {
            incarnation = senderIncarnation;
            highest = 0;
            seen.clear();
        }
        if (sequence < 1 || sequence <= highest - WINDOW_SIZE) {
            return Optional.of(Rejection.REPLAY);
        }
        if (sequence > highest) {
            clearUpTo(sequence);
            highest = sequence;
        } else if (seen.get(bitIndex(sequence))) {
            return Optional.of(Rejection.REPLAY);
        }
        seen.set(bitIndex(sequence));
        return Optional.empty();
    }

    private void clearUpTo(long upTo) {
        if (upTo - highest >= WINDOW_SIZE) {
            seen.clear();
            return;
        }
        for (long s = highest + 1; s <= upTo; s++) {
            seen.clear(bitIndex(s));
        }
    }

    private static int bitIndex(long sequence) {
        return (int) (sequence % WINDOW_SIZE);
    }
}
