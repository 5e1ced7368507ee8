package org.godwithoist.chat;

import java.time.Duration;
import org.godwithoist.core.time.Ticker;

/**
 * Permits retries for at most a tenth of the requests of the last 10 s, so that the retries of all
 * daemons together add at most 10 % load when many engines fail. Thread-safe.
 */
public final class RetryBudget {
    private static final int WINDOW_SECONDS = 10;
    private static final double SHARE = 0.1;
    private static final int MIN_PER_SECOND = 1;

    private final Ticker ticker;
    private final long[] accepted = new long[WINDOW_SECONDS];
    private final long[] retried = new long[WINDOW_SECONDS];
    private long second;

    /** Makes a budget without history. */
    public RetryBudget(Ticker ticker) {
        this.ticker = ticker;
        second = now();
    }

    /** Counts a request. */
    public synchronized void accepted() {
        forgetOld();
        accepted[slot(second)]++;
    }

    /** Takes one retry from the budget; returns false if there is none left. */
    public synchronized boolean tryRetry() {
        forgetOld();
        double permitted = Math.max(MIN_PER_SECOND * WINDOW_SECONDS, SHARE * sum(accepted));
        if (sum(retried) >= permitted) {
            return false;
        }
        retried[slot(second)]++;
        return true;
    }

    private void forgetOld() {
        long now = now();
        long from = Math.max(second + 1, now - WINDOW_SECONDS + 1);
        for (long s = from; s <= now; s++) {
            accepted[slot(s)] = 0;
            retried[slot(s)] = 0;
        }
        second = now;
    }

    private long now() {
        return Math.floorDiv(ticker.nanos(), Duration.ofSeconds(1).toNanos());
    }

    private static int slot(long second) {
        return Math.floorMod(second, WINDOW_SECONDS);
    }

    private static double sum(long[] counts) {
        double sum = 0;
        for (long c : counts) {
            sum += c;
        }
        return sum;
    }
}
