package org.godwithoist.targets;

import java.time.Duration;

/**
 * Requests a second that a target takes from all daemons together, as it states itself.
 *
 * @param milliPerSecond thousandths of a request a second, from 1 to {@value #MAX_MILLI_PER_SECOND}
 */
public record RateLimit(int milliPerSecond) {
    /** Maximum of a limit; no target processes a million requests a second. */
    public static final int MAX_MILLI_PER_SECOND = 1_000_000_000;

    private static final double UNITS = 1000;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Validates the limit.
     *
     * @throws IllegalArgumentException if the limit is out of range
     */
    public RateLimit {
        if (milliPerSecond < 1 || milliPerSecond > MAX_MILLI_PER_SECOND) {
            throw new IllegalArgumentException(
                    "rate limit of "
                            + milliPerSecond
                            + " thousandths a second is out of range; expected 1 to "
                            + MAX_MILLI_PER_SECOND);
        }
    }

    /** Returns the requests a second. */
    public double perSecond() {
        return milliPerSecond / UNITS;
    }

    /** Returns the requests that the limit permits in a time. */
    double requestsIn(Duration time) {
        return perSecond() * time.toNanos() / NANOS_PER_SECOND;
    }

    /** Returns the mean time between two requests. */
    Duration meanInterval() {
        return Duration.ofNanos((long) (NANOS_PER_SECOND / perSecond()));
    }

    @Override
    public String toString() {
        return Double.toString(perSecond());
    }
}
