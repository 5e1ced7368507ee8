package org.godwithoist.dispatch;

/**
 * Sizes of successful bodies of a route or service whose ends were stated. They show how plausible
 * it is that a body whose end is not stated is whole.
 *
 * @param count number of bodies, at most {@link #MIN_COUNT}
 * @param min smallest size in bytes; 0 without bodies
 * @param max largest size in bytes; 0 without bodies
 */
record BodySizes(int count, long min, long max) {
    /**
     * Number of bodies from which the range of their sizes is known well enough to be used. Few
     * successive bodies may be those of one caller, and much alike.
     */
    static final int MIN_COUNT = 32;

    static final BodySizes NONE = new BodySizes(0, 0, 0);

    /**
     * How far outside the known sizes a body may be, as a multiple of their range. Bodies such as
     * lists grow, and none of the larger ones may have a stated end.
     */
    private static final int TOLERANCE = 4;

    /** How the size of a body compares with the known ones. */
    enum Match {
        /** Too few sizes are known. */
        UNKNOWN,
        /** All bodies of the route have this size. */
        EXACT,
        /** The size is in the range of the known ones, or not far outside. */
        NEAR,
        /** No body of the route has such a size. */
        FAR
    }

    /** Returns these sizes and one more. */
    BodySizes with(long bytes) {
        return merge(new BodySizes(1, bytes, bytes));
    }

    /** Returns these sizes and others. */
    BodySizes merge(BodySizes other) {
        if (count == 0 || other.count == 0) {
            return count == 0 ? other : this;
        }
        return new BodySizes(
                Math.min(count + other.count, MIN_COUNT),
                Math.min(min, other.min),
                Math.max(max, other.max));
    }

    /** Returns how the size of a body that has ended compares with these. */
    Match match(long bytes) {
        if (!areKnown()) {
            return Match.UNKNOWN;
        }
        boolean isOnlyEmptyOne = bytes == 0 && min > 0;
        if (isOnlyEmptyOne || bytes < min - tolerance() || isTooLong(bytes)) {
            return Match.FAR;
        }
        return max == min ? Match.EXACT : Match.NEAR;
    }

    /** Returns whether a body that may go on is longer than the known ones. */
    boolean isTooLong(long bytes) {
        return areKnown() && bytes > max + tolerance();
    }

    /** Returns whether enough bodies are known to compare others with them. */
    boolean areKnown() {
        return count >= MIN_COUNT;
    }

    private long tolerance() {
        return TOLERANCE * (max - min);
    }
}
