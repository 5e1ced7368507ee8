package org.godwithoist.quarantine;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Why the stored evidence must be compared with what this daemon knows. */
enum CheckReason {
    /**
     * The store was restored from an older copy. All daemons notice that at about the same time.
     */
    RESTORE(Duration.ZERO),
    /**
     * A call got no response and may take effect some seconds later, or a check has written a row
     * while another daemon may have released that suspect.
     */
    CONFIRMATION(Duration.ofSeconds(10));

    /** Time over which the checks of all daemons are distributed. */
    private static final Duration SPREAD = Duration.ofSeconds(3);

    private final Duration minDelay;

    CheckReason(Duration minDelay) {
        this.minDelay = minDelay;
    }

    /** Returns the time from the event to the check. */
    Duration delay(RandomGenerator random) {
        return minDelay.plusNanos(random.nextLong(SPREAD.toNanos()));
    }
}
