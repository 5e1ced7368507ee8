package org.godwithoist.peers;

import java.time.Duration;

/** Part of a daemon in the exchange; it decides how often the daemon tells its calls. */
enum ExchangeRole {
    /** All daemons tell all others; the fleet is small. */
    EQUAL(Duration.ofMillis(150), Duration.ofSeconds(1)),
    /** Tells the leader of its failure domain. */
    MEMBER(Duration.ofMillis(300), Duration.ofMillis(300)),
    /** Tells its members and the other leaders. */
    LEADER(Duration.ofMillis(300), Duration.ofMillis(300));

    private final Duration period;
    private final Duration silentPeriod;

    ExchangeRole(Duration period, Duration silentPeriod) {
        this.period = period;
        this.silentPeriod = silentPeriod;
    }

    /**
     * Returns the time between two messages.
     *
     * @param silent whether the receiver has been silent
     */
    Duration period(boolean silent) {
        return silent ? silentPeriod : period;
    }
}
