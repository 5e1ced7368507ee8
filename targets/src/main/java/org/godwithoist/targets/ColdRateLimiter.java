package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayDeque;

/**
 * Limits the request rate to one cold target. The limit holds for every sliding window of one
 * second: with fixed windows, a burst at the end of one second and another at the start of the next
 * would reach the target together. Not thread-safe.
 */
final class ColdRateLimiter {
    private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

    private final ArrayDeque<Long> sentTimes = new ArrayDeque<>();
    private long coldUntil;
    private boolean cold;

    /** Marks the target as cold for a time from now; zero marks it as warm. */
    void setColdFor(Duration duration, long now) {
        cold = !duration.isZero();
        coldUntil = now + duration.toNanos();
    }

    boolean isCold(long now) {
        if (cold && coldUntil - now <= 0) {
            cold = false;
            sentTimes.clear();
        }
        return cold;
    }

    /** Returns whether one more request may be sent now. */
    boolean permits(int perSecond, long now) {
        if (!isCold(now)) {
            return true;
        }
        while (!sentTimes.isEmpty() && now - sentTimes.peekFirst() >= WINDOW_NANOS) {
            sentTimes.pollFirst();
        }
        return sentTimes.size() < perSecond;
    }

    /** Counts a request that is sent now. */
    void recordSent(long now) {
        if (isCold(now)) {
            sentTimes.addLast(now);
        }
    }
}
