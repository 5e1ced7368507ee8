package org.godwithoist.accounting;

import java.time.Duration;
import org.godwithoist.core.time.Durations;

/** Time between two settlements of a daemon. */
public final class FlushInterval {
    /** Interval of a small fleet. */
    public static final Duration SHORTEST = Duration.ofSeconds(5);

    /**
     * Time of the store for one daemon's settlement. The fleet commits at most 50 settlements per
     * second, whatever its size; at 940 daemons an interval of 5 s would need 188.
     */
    private static final Duration PER_DAEMON = Duration.ofMillis(20);

    private FlushInterval() {}

    /** Returns the interval for a fleet with the given number of daemons. */
    public static Duration of(int daemons) {
        return Durations.max(PER_DAEMON.multipliedBy(daemons), SHORTEST);
    }
}
