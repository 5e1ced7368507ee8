package org.godwithoist.services;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.godwithoist.core.time.Ticker;

/**
 * Permits retries for a tenth of the calls accepted in the last 10 s, and at least one per second,
 * so that all daemons together add at most 10 % load. Thread-safe.
 */
public final class RetryBudget {
    private static final long WINDOW_SECONDS = 10;
    private static final long CALLS_PER_RETRY = 10;

    private record Second(long number, long calls, long retries) {}

    private final Ticker ticker;
    private final Deque<Second> seconds = new ArrayDeque<>();

    /** Makes an unused budget. */
    public RetryBudget(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Counts an accepted call. */
    public synchronized void accepted() {
        Second s = current();
        seconds.addLast(new Second(s.number, s.calls + 1, s.retries));
    }

    /** Takes one retry from the budget; returns false if there is none left. */
    public synchronized boolean tryRetry() {
        Second s = current();
        long calls = s.calls + seconds.stream().mapToLong(Second::calls).sum();
        long retries = s.retries + seconds.stream().mapToLong(Second::retries).sum();
        boolean permitted = retries < calls / CALLS_PER_RETRY || s.retries == 0;
        seconds.addLast(new Second(s.number, s.calls, s.retries + (permitted ? 1 : 0)));
        return permitted;
    }

    /** Removes and returns the counts of this second, after it dropped those before the window. */
    private Second current() {
        long now = Duration.ofNanos(ticker.nanos()).toSeconds();
        seconds.removeIf(s -> s.number <= now - WINDOW_SECONDS);
        Second last = seconds.peekLast();
        return last != null && last.number == now ? seconds.removeLast() : new Second(now, 0, 0);
    }
}
