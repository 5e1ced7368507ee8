package org.godwithoist.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.godwithoist.core.time.Durations;

/**
 * Delays between the attempts of a call that fails repeatedly. Each delay is twice as long as the
 * one before, up to a maximum. Half of it is random, so that processes that fail at the same time
 * do not retry at the same time. Used by one task.
 */
public final class Backoff {
    private final Duration first;
    private final Duration max;
    private final RandomGenerator random;
    private Duration current;

    /**
     * Creates a backoff for a call that has not failed yet.
     *
     * @param first longest delay after the first failure
     * @param max longest delay
     */
    public Backoff(Duration first, Duration max, RandomGenerator random) {
        this.first = first;
        this.max = max;
        this.random = random;
        current = first;
    }

    /** Returns the delay until the next attempt after a failure. */
    public Duration next() {
        long half = current.toNanos() / 2;
        current = Durations.min(current.multipliedBy(2), max);
        return Duration.ofNanos(half + random.nextLong(half));
    }

    /** Starts again with the shortest delay, because the call succeeded. */
    public void reset() {
        current = first;
    }
}
