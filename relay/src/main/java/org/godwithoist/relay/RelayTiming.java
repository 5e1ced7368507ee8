package org.godwithoist.relay;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.time.Durations;

/**
 * Timeouts and intervals of the relay, derived from the time within which an update must take
 * effect. In the worst case a leader stops responding just before its copy becomes stale: {@link
 * #maxAge()}, {@link #maxMemberWait()} and {@link #responseMargin()} then take about two thirds of
 * that time, which leaves the rest for a request to the store.
 *
 * @param maxPropagationDelay time within which a change in the store must take effect
 */
public record RelayTiming(Duration maxPropagationDelay) {
    /** With a shorter time the derived values would be close to the scheduling delays of a host. */
    private static final Duration MIN_PROPAGATION_DELAY = Duration.ofSeconds(2);

    /** Returns whether the time is long enough to relay updates through leaders. */
    public boolean allowsRelay() {
        return maxPropagationDelay.compareTo(MIN_PROPAGATION_DELAY) >= 0;
    }

    /**
     * Returns the maximum time for which a leader waits for changes at the store. The copy that it
     * relays then reaches {@link #refreshAge()} at most, even if the last response with changes was
     * under way or delayed for some time.
     *
     * @param age age of the leader's copy; empty if it has none
     */
    public Duration leaderWait(Optional<Duration> age) {
        return age.map(a -> Durations.max(refreshAge().minus(a), Duration.ZERO))
                .orElse(maxPropagationDelay.dividedBy(6));
    }

    /**
     * Returns the age of its copy at which a leader wants the next response of the store. The rest
     * of {@link #maxAge()} is left for the response to arrive.
     */
    private Duration refreshAge() {
        return maxPropagationDelay.multipliedBy(4).dividedBy(15);
    }

    /**
     * Returns the delay between a response of the store with changes and the leader's next request.
     * It is shorter if the copy is old, so that the next response arrives before {@link #maxAge()}.
     *
     * @param age age of the leader's copy; empty if it has none
     */
    public Duration leaderPollDelay(Optional<Duration> age) {
        Duration delay = maxPropagationDelay.dividedBy(10);
        Duration left = maxPropagationDelay.dividedBy(3).minus(age.orElse(Duration.ZERO));
        return Durations.max(Duration.ZERO, Durations.min(delay, left));
    }

    /** Returns the maximum age at which a leader still relays its copy of a table. */
    public Duration maxAge() {
        return maxPropagationDelay.multipliedBy(2).dividedBy(5);
    }

    /** Returns the maximum time for which a member waits for changes at its leader. */
    public Duration maxMemberWait() {
        return maxPropagationDelay.dividedBy(6);
    }

    /**
     * Returns the time in addition to {@link #maxMemberWait()} after which a member considers its
     * leader unresponsive.
     */
    public Duration responseMargin() {
        return maxPropagationDelay.dividedBy(12);
    }

    /**
     * Returns the delay between a response of the store with changes and the next request of a
     * daemon that is not a leader.
     */
    public Duration storePollDelay() {
        return maxPropagationDelay.dividedBy(3);
    }
}
