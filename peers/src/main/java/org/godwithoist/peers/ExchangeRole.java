package org.godwithoist.peers;

import java.time.Duration;

/** Role of a daemon in the load exchange; determines how often the daemon sends its reports. */
enum ExchangeRole {
    /** Small fleet: each daemon reports to all others. */
    MESH(Duration.ofMillis(150), Duration.ofSeconds(1)),
    /** Reports to the leader of its failure domain. */
    MEMBER(Duration.ofMillis(300), Duration.ofMillis(300)),
    /** Reports to the members of its failure domain and to the other leaders. */
    LEADER(Duration.ofMillis(300), Duration.ofMillis(300));

    private final Duration interval;
    private final Duration unresponsiveInterval;

    ExchangeRole(Duration interval, Duration unresponsiveInterval) {
        this.interval = interval;
        this.unresponsiveInterval = unresponsiveInterval;
    }

    /**
     * Returns the interval between two messages to a receiver.
     *
     * @param unresponsive whether the receiver is unresponsive
     */
    Duration interval(boolean unresponsive) {
        return unresponsive ? unresponsiveInterval : interval;
    }
}
