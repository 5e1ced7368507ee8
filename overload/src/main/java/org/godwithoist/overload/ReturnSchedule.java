package org.godwithoist.overload;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Tells refused callers when to return. Each gets a later moment than the one before, at the rate
 * at which capacity becomes free, so that they do not return in a wave. Not thread-safe.
 */
final class ReturnSchedule {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MIN_DELAY_NANOS = Duration.ofMillis(10).toNanos();

    /** The random part of a delay, as a fraction of it. */
    private static final double JITTER = 0.25;

    /** The random part of a delay that the caller's time left bounds. */
    private static final double BOUNDED_JITTER = 0.6;

    private final int shareDivisor;
    private final RandomGenerator random;
    private boolean hasReturn;
    private long lastReturnAt;

    ReturnSchedule(int shareDivisor, RandomGenerator random) {
        this.shareDivisor = shareDivisor;
        this.random = random;
    }

    /**
     * Returns the delay after which a refused caller may return.
     *
     * @param waiting requests that wait now
     * @param freedPerSecond rate at which capacity becomes free
     * @param timeLeft time that the caller has left
     */
    Duration next(int waiting, double freedPerSecond, Duration timeLeft, long now) {
        long step = (long) (NANOS_PER_SECOND / freedPerSecond);
        long returnAt = now + Math.max(MIN_DELAY_NANOS, (waiting + 1) * step);
        if (hasReturn && lastReturnAt + step - returnAt > 0) {
            returnAt = lastReturnAt + step;
        }
        long bound = timeLeft.toNanos() / shareDivisor;
        if (returnAt - now > bound) {
            return jittered(bound, BOUNDED_JITTER);
        }
        hasReturn = true;
        lastReturnAt = returnAt;
        return jittered(returnAt - now, JITTER);
    }

    private Duration jittered(long nanos, double fraction) {
        return Duration.ofNanos((long) (nanos * (1 - fraction * random.nextDouble())));
    }
}
