package org.godwithoist.accounting;

import java.time.Duration;
import org.godwithoist.core.time.Durations;

/** Computes the interval between two settlements of a daemon. */
public final class FlushInterval {
    /** Interval in small fleets. */
    public static final Duration MIN_INTERVAL = Duration.ofSeconds(5);

    /**
     * Interval per daemon. Limits the fleet to 50 commits per second in the store at any size; 940
     * daemons with an interval of 5 s would need 188.
     */
    private static final Duration INTERVAL_PER_DAEMON = Duration.ofMillis(20);

    private FlushInterval() {}

    /** Returns the interval in a fleet with the given number of daemons, at least 5 s. */
    public static Duration of(int daemons) {
        return Durations.max(INTERVAL_PER_DAEMON.multipliedBy(daemons), MIN_INTERVAL);
    }
}
