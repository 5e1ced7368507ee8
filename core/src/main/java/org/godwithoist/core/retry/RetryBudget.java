package org.godwithoist.core.retry;

import java.time.Duration;
import org.godwithoist.core.time.Ticker;

/**
 * Retry budget over a sliding window of 10 s. Retries are limited to a tenth of the requests, so
 * that the retries of all daemons together add at most 10 % load when many targets fail. A {@link
 * Floor} permits a daemon with few requests up to 10 retries in 10 s; without it, one killed engine
 * would end the few responses that it was generating. Thread-safe.
 */
public final class RetryBudget {
    private static final int WINDOW_SECONDS = 10;
    private static final long REQUESTS_PER_RETRY = 10;

    /** Minimum number of retries, independent of the number of requests. */
    public enum Floor {
        /**
         * 10 retries per window, possibly all at the same time, because a killed engine interrupts
         * all responses that it was generating at the same moment.
         */
        BURST {
            @Override
            boolean permits(long retriesInWindow, long retriesInSecond) {
                return retriesInWindow < WINDOW_SECONDS;
            }
        },
        /** One retry per second, for requests that fail independently of each other. */
        STEADY {
            @Override
            boolean permits(long retriesInWindow, long retriesInSecond) {
                return retriesInSecond == 0;
            }
        };

        abstract boolean permits(long retriesInWindow, long retriesInSecond);
    }

    private final Ticker ticker;
    private final Floor floor;
    private final long[] requests = new long[WINDOW_SECONDS];
    private final long[] retries = new long[WINDOW_SECONDS];
    private long totalRequests;
    private long totalRetries;
    private long currentSecond;

    /** Creates a budget without any requests, so that only the floor permits retries. */
    public RetryBudget(Ticker ticker, Floor floor) {
        this.ticker = ticker;
        this.floor = floor;
        currentSecond = nowSeconds();
    }

    /** Counts a request, which increases the budget for the length of the window. */
    public synchronized void recordRequest() {
        discardExpired();
        requests[bucketIndex(currentSecond)]++;
        totalRequests++;
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    public synchronized boolean tryAcquire() {
        discardExpired();
        boolean withinRatio = totalRetries < totalRequests / REQUESTS_PER_RETRY;
        if (!withinRatio && !floor.permits(totalRetries, retries[bucketIndex(currentSecond)])) {
            return false;
        }
        retries[bucketIndex(currentSecond)]++;
        totalRetries++;
        return true;
    }

    private void discardExpired() {
        long now = nowSeconds();
        long from = Math.max(currentSecond + 1, now - WINDOW_SECONDS + 1);
        for (long s = from; s <= now; s++) {
            totalRequests -= requests[bucketIndex(s)];
            totalRetries -= retries[bucketIndex(s)];
            requests[bucketIndex(s)] = 0;
            retries[bucketIndex(s)] = 0;
        }
        currentSecond = now;
    }

    private long nowSeconds() {
        return Math.floorDiv(ticker.nanos(), Duration.ofSeconds(1).toNanos());
    }

    private static int bucketIndex(long second) {
        return Math.floorMod(second, WINDOW_SECONDS);
    }
}
