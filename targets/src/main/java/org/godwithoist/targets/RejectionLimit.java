package org.godwithoist.targets;

/**
 * Rejections a second for want of room that a target survives, as it states itself. They count for
 * all daemons together.
 *
 * @param perSecond rejections a second, from 0 to {@value #MAX_PER_SECOND}
 */
public record RejectionLimit(int perSecond) {
    /** Maximum of a limit; no target rejects a million requests a second. */
    public static final int MAX_PER_SECOND = 1_000_000;

    /**
     * Part of the limit that is kept for rejections that no daemon has expected, as a divisor; it
     * is one rejection at least.
     */
    private static final int RESERVE_DIVISOR = 4;

    /**
     * Validates the limit.
     *
     * @throws IllegalArgumentException if the limit is out of range
     */
    public RejectionLimit {
        if (perSecond < 0 || perSecond > MAX_PER_SECOND) {
            throw new IllegalArgumentException(
                    "rejection limit of "
                            + perSecond
                            + " a second is out of range; expected 0 to "
                            + MAX_PER_SECOND);
        }
    }

    /** Returns the rejections a second that all daemons together may risk. */
    int budget() {
        return Math.max(0, perSecond - Math.max(1, perSecond / RESERVE_DIVISOR));
    }

    @Override
    public String toString() {
        return Integer.toString(perSecond);
    }
}
