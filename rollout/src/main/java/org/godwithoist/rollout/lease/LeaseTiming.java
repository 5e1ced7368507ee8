package org.godwithoist.rollout.lease;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Times of leases. Immutable.
 *
 * @param duration validity of a record after its write
 * @param renewalInterval age at which the holder renews its record
 * @param preferredDelay maximum random delay of the first attempt of a daemon that sends messages
 *     to all others or leads a failure domain
 * @param otherDelay delay of the first attempt of the other daemons, and the maximum random delay
 *     in addition; longer than the first messages of a leader take to arrive
 * @param retryDelay minimum delay between two calls after one that was not answered or done
 */
public record LeaseTiming(
        Duration duration,
        Duration renewalInterval,
        Duration preferredDelay,
        Duration otherDelay,
        Duration retryDelay) {
    /** A takeover within 3 to 5 s, at one call a second and order. */
    public static final LeaseTiming DEFAULT =
            new LeaseTiming(
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(600),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(250));

    /**
     * Returns the delay of an attempt to acquire a lease that is free.
     *
     * @param preferred whether this daemon reaches the others quickly
     */
    Duration attemptDelay(boolean preferred, RandomGenerator random) {
        return preferred
                ? random(preferredDelay, random)
                : otherDelay.plus(random(otherDelay, random));
    }

    /** Returns the delay after a call that was not answered or done. */
    Duration retryDelay(RandomGenerator random) {
        return retryDelay.plus(random(retryDelay, random));
    }

    private static Duration random(Duration max, RandomGenerator random) {
        return Duration.ofNanos(random.nextLong(max.toNanos()));
    }
}
