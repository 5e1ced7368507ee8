package org.godwithoist.peers;

import java.time.Duration;

/** Role of a daemon in the load exchange; determines how often the daemon sends its reports. */
enum ExchangeRole {
    /** Small fleet: each daemon reports to all others. */
    EQUAL(Duration.ofMillis(150), Duration.ofSeconds(1)),
    /** Reports to the leader of its failure domain. */
    MEMBER(Duration.ofMillis(300), Duration.ofMillis(300)),
    /** Reports to the members of its failure domain and to the other leaders. */
    LEADER(Duration.ofMillis(300), Duration.ofMillis(300));

    private final Duration period;
    private final Duration silentPeriod;

    ExchangeRole(Duration period, Duration silentPeriod) {
        this.period = period;
        this.silentPeriod = silentPeriod;
    }

    /**
     * Returns the interval between two messages to a receiver.
     *
     * @param silent whether the receiver is unresponsive
     */
    Duration period(boolean silent) {
        return silent ? silentPeriod : period;
    }
}
