package org.godwithoist.core.retry;

import java.time.Duration;
import org.godwithoist.core.time.Ticker;

/**
 * Retry budget over a sliding window of 10 s. Retries are limited to a tenth of the requests, so
 * that the retries of all daemons add at most 10 % load when many targets fail. A {@link Floor}
 * permits a daemon with few requests up to 10 retries in 10 s; otherwise a single killed engine
 * would break off all responses that it was generating. Thread-safe.
 */
public final class RetryBudget {
    private static final int WINDOW_SECONDS = 10;
    private static final long REQUESTS_PER_RETRY = 10;

    /** Minimum number of retries, independent of the number of requests. */
    public enum Floor {
        /**
         * 10 retries per window, possibly all at the same time: a killed engine breaks off all
         * responses that it was generating at the same moment.
         */
        BURST {
            @Override
            boolean permits(long inWindow, long inSecond) {
                return inWindow < WINDOW_SECONDS;
            }
        },
        /** One retry per second, for requests that fail independently of each other. */
        STEADY {
            @Override
            boolean permits(long inWindow, long inSecond) {
                return inSecond == 0;
            }
        };

        abstract boolean permits(long inWindow, long inSecond);
    }

    private final Ticker ticker;
    private final Floor floor;
    private final long[] accepted = new long[WINDOW_SECONDS];
    private final long[] retried = new long[WINDOW_SECONDS];
    private long totalAccepted;
    private long totalRetried;
    private long second;

    /** Creates a budget without any requests, so that only the floor permits retries. */
    public RetryBudget(Ticker ticker, Floor floor) {
        this.ticker = ticker;
        this.floor = floor;
        second = now();
    }

    /** Counts a request, which increases the budget for the length of the window. */
    public synchronized void accepted() {
        forgetOld();
        accepted[slot(second)]++;
        totalAccepted++;
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    public synchronized boolean tryRetry() {
        forgetOld();
        boolean share = totalRetried < totalAccepted / REQUESTS_PER_RETRY;
        if (!share && !floor.permits(totalRetried, retried[slot(second)])) {
            return false;
        }
        retried[slot(second)]++;
        totalRetried++;
        return true;
    }

    private void forgetOld() {
        long now = now();
        long from = Math.max(second + 1, now - WINDOW_SECONDS + 1);
        for (long s = from; s <= now; s++) {
            totalAccepted -= accepted[slot(s)];
            totalRetried -= retried[slot(s)];
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
}
