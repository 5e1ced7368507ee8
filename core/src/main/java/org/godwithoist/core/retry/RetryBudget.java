package org.godwithoist.core.retry;

import java.time.Duration;
import org.godwithoist.core.time.Ticker;

/**
 * Permits retries for at most a tenth of the requests of the last 10 s, so that the retries of all
 * daemons together add at most 10 % load when many targets fail. A daemon with few requests may
 * still retry 10 of them in 10 s; without that, one killed engine would end the few answers that it
 * was generating. Thread-safe.
 */
public final class RetryBudget {
    private static final int WINDOW_SECONDS = 10;
    private static final long REQUESTS_PER_RETRY = 10;

    /** Retries that are permitted however few requests there are. */
    public enum Floor {
        /**
         * Ten in the window, all at once if need be: a killed engine interrupts all the answers
         * that it was generating at the same moment.
         */
        BURST {
            @Override
            boolean permits(long inWindow, long inSecond) {
                return inWindow < WINDOW_SECONDS;
            }
        },
        /** One in each second, for calls that fail one by one. */
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

    /** Makes an unused budget. */
    public RetryBudget(Ticker ticker, Floor floor) {
        this.ticker = ticker;
        this.floor = floor;
        second = now();
    }

    /** Counts an accepted request. */
    public synchronized void accepted() {
        forgetOld();
        accepted[slot(second)]++;
        totalAccepted++;
    }

    /** Takes one retry from the budget; returns false if there is none left. */
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
