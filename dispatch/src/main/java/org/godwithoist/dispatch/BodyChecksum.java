package org.godwithoist.dispatch;

import java.util.zip.CRC32C;

/**
 * Size and checksum of a body, which tell whether a copy of it is the same or longer without the
 * body being kept. Not thread-safe.
 */
public final class BodyChecksum {
    /** How a copy compares with the body. */
    public enum Match {
        /** The copy is the same. */
        EQUAL,
        /** The copy begins with the body and goes on. */
        LONGER,
        /** The copy begins with other bytes. */
        DIFFERENT,
        /** The copy has not enough bytes to tell. */
        UNKNOWN
    }

    private final CRC32C checksum = new CRC32C();
    private long length;

    /** Adds bytes of the body. */
    public void add(byte[] bytes, int from, int count) {
        checksum.update(bytes, from, count);
        length += count;
    }

    /** Returns the size of the body in bytes. */
    public long length() {
        return length;
    }

    /** Starts the comparison of a copy with the body, to which nothing is added any more. */
    public Comparison startComparison() {
        return new Comparison();
    }

    /** The comparison of a copy that is read piece by piece, of which nothing is kept either. */
    public final class Comparison {
        private final CRC32C start = new CRC32C();
        private long copyLength;

        /** Adds bytes of the copy. */
        public void add(byte[] bytes, int from, int count) {
            long left = Math.max(0, length - copyLength);
            start.update(bytes, from, (int) Math.min(left, count));
            copyLength += count;
        }

        /**
         * Returns how what was added compares with the body.
         *
         * @param complete whether these are all bytes of the copy
         */
        public Match match(boolean complete) {
            if (copyLength < length) {
                return Match.UNKNOWN;
            }
            if (start.getValue() != checksum.getValue()) {
                return Match.DIFFERENT;
            }
            if (copyLength > length) {
                return Match.LONGER;
            }
            return complete ? Match.EQUAL : Match.UNKNOWN;
        }
    }
}
