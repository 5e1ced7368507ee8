package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Supplier;
import org.godwithoist.core.time.Ticker;

/**
 * This daemon's share of the retry budget of one service, over a sliding window. The budget grows
 * with the requests of this daemon and includes its share of a fixed allowance. Thread-safe.
 */
public final class RetryShare {
    /**
     * Retry budget of the fleet.
     *
     * @param ratio retries per request
     * @param window time over which retries are counted
     * @param extra retries per window beyond the ratio
     */
    public record Budget(double ratio, Duration window, double extra) {}

    /** Fraction of the budget that is used; the rest covers bursts of retries. */
    private static final double USED_FRACTION = 0.85;

    /**
     * Fraction of the budget up to which targets are asked about responses without a stated end,
     * which are most often complete; the rest is for requests that have failed.
     */
    private static final double CONFIRMATION_FRACTION = 0.6;

    private final Ticker ticker;
    private final Supplier<Budget> budget;
    private final ArrayDeque<Long> requestTimes = new ArrayDeque<>();
    private final ArrayDeque<Long> retryTimes = new ArrayDeque<>();

    /**
     * Creates a share without any retries used. The supplier is read on each use, so that changed
     * settings apply immediately.
     */
    public RetryShare(Ticker ticker, Supplier<Budget> budget) {
        this.ticker = ticker;
        this.budget = budget;
    }

    /** Counts a request of a caller. Its retries are counted by {@link #tryRetry} only. */
    public synchronized void recordRequest() {
        long now = ticker.nanos();
        removeExpired(requestTimes, now);
        requestTimes.addLast(now);
    }

    /** Takes one retry from the budget; returns false if none is left. */
    public boolean tryRetry(FleetShare share) {
        return tryTake(share, USED_FRACTION);
    }

    /**
     * Takes one retry from the budget to ask for the rest of a response whose end was not stated;
     * returns false if none is left for that.
     */
    public boolean tryConfirmation(FleetShare share) {
        return tryTake(share, CONFIRMATION_FRACTION);
    }

    private synchronized boolean tryTake(FleetShare share, double usedFraction) {
        long now = ticker.nanos();
        Budget current = budget.get();
        removeExpired(requestTimes, now);
        removeExpired(retryTimes, now);
        double limit = current.ratio() * requestTimes.size() + share.of(current.extra());
        if (retryTimes.size() + 1 > limit * usedFraction) {
            return false;
        }
        retryTimes.addLast(now);
        return true;
    }

    private void removeExpired(ArrayDeque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > budget.get().window().toNanos()) {
            times.pollFirst();
        }
    }
}
