package org.godwithoist.targets;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Keeps this daemon's share of the rate limit that one target names for all daemons. The share is a
 * whole number of requests in a sliding window, which is long enough that a limit below one request
 * a second for each daemon leaves whole requests to divide. Requests that were sent before the
 * limit was known count too, so that the target gets no burst when it names one. Not thread-safe.
 */
final class RequestRateLimiter extends StatedLimit<RateLimit> {
    /**
     * Requests of all daemons in a window beyond the limit. A limit of less than one request a
     * second leaves few whole requests to divide without them; targets tolerate more.
     */
    private static final int EXTRA_REQUESTS = 2;

    /**
     * Sliding window of a share. Targets count over about 4 s; the rest is a margin for requests
     * that take unequal times to arrive.
     */
    static final Duration WINDOW = Duration.ofMillis(4500);

    /**
     * Minimum interval between two requests of a daemon, as a fraction of the mean interval between
     * those of all daemons. A longer one would leave much of a share unused, because the requests
     * for a target arrive at random times.
     */
    private static final double MIN_INTERVAL_FRACTION = 0.5;

    private final ArrayDeque<Long> sentTimes = new ArrayDeque<>();

    /** Counts a request that is sent now. */
    void recordSent(long now) {
        removeExpired(now);
        sentTimes.addLast(now);
    }

    private void removeExpired(long now) {
        while (!sentTimes.isEmpty() && now - sentTimes.peekFirst() >= WINDOW.toNanos()) {
            sentTimes.pollFirst();
        }
    }

    /**
     * Returns the time until this daemon may send a request; zero if it may now. A daemon without a
     * share returns the mean time between two requests of all daemons.
     *
     * @param salt distributes the remainder of the division over different daemons
     */
    Duration wait(FleetShare share, int salt, long now) {
        if (limit().isEmpty()) {
            return Duration.ZERO;
        }
        int all = requestsOfAllDaemons(limit().get());
        int requests = share.of(all, salt);
        if (requests == 0) {
            return limit().get().meanInterval();
        }
        removeExpired(now);
        long nanos = Math.max(windowWait(requests, now), intervalWait(all, now));
        return Duration.ofNanos(Math.max(0, nanos));
    }

    /** Returns the requests that all daemons together may send in a window. */
    private static int requestsOfAllDaemons(RateLimit limit) {
        return (int) limit.requestsIn(WINDOW) + EXTRA_REQUESTS;
    }

    private long windowWait(int requests, long now) {
        int excess = sentTimes.size() - requests;
        if (excess < 0) {
            return 0;
        }
        Iterator<Long> times = sentTimes.iterator();
        long lastToExpire = times.next();
        for (int i = 0; i < excess; i++) {
            lastToExpire = times.next();
        }
        return lastToExpire + WINDOW.toNanos() - now;
    }

    private long intervalWait(int requestsOfAll, long now) {
        if (sentTimes.isEmpty()) {
            return 0;
        }
        long interval = (long) (WINDOW.toNanos() * MIN_INTERVAL_FRACTION / requestsOfAll);
        return sentTimes.peekLast() + interval - now;
    }
}
