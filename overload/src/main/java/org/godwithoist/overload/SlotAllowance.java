package org.godwithoist.overload;

/**
 * This daemon's part of the limit. It is rarely a whole number, and below 1 when many daemons share
 * few slots; the fraction is used by one more request from time to time, as often as the fraction
 * permits. Instants are in nanoseconds of the ticker. Not thread-safe.
 */
final class SlotAllowance {
    private static final double NANOS_PER_SECOND = 1e9;

    private double slots;
    private double holdSeconds = 1;

    /** Part of a further request that the fraction has earned, up to 1. */
    private double earned;

    private long updatedAt;

    SlotAllowance(long now) {
        updatedAt = now;
    }

    /**
     * Sets the allowance.
     *
     * @param allowed slots of this daemon
     * @param hold average time for which a request holds its slot, in seconds
     */
    void set(double allowed, double hold, long now) {
        update(now);
        slots = allowed;
        holdSeconds = hold;
    }

    double slots() {
        return slots;
    }

    /** Returns the rate at which slots become free, per second; above 0. */
    double freedPerSecond() {
        return Math.max(slots, 1e-3) / holdSeconds;
    }

    /** Returns whether one more request may start. */
    boolean permits(int inProgress, long now) {
        update(now);
        return inProgress < Math.floor(slots) || (inProgress < Math.ceil(slots) && earned >= 1);
    }

    /** Counts a request that starts although {@code inProgress} others are in progress. */
    void start(int inProgress, long now) {
        update(now);
        if (inProgress >= Math.floor(slots)) {
            earned = Math.max(0, earned - 1);
        }
    }

    /**
     * Returns the time until one more request may start if none ends before, in nanoseconds; the
     * maximum value if none may.
     */
    long nanosUntilPermitted(int inProgress, long now) {
        if (permits(inProgress, now)) {
            return 0;
        }
        if (inProgress >= Math.ceil(slots)) {
            return Long.MAX_VALUE;
        }
        double seconds = (1 - earned) * holdSeconds / (slots - Math.floor(slots));
        return 1 + (long) (seconds * NANOS_PER_SECOND);
    }

    private void update(long now) {
        double seconds = Math.max(0, now - updatedAt) / NANOS_PER_SECOND;
        double fraction = slots - Math.floor(slots);
        earned = Math.min(1, earned + seconds * fraction / holdSeconds);
        updatedAt = now;
    }
}
