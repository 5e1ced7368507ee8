package org.godwithoist.rollout.lease;

import java.util.concurrent.TimeUnit;

/**
 * Bounds of the store's clock, from its last response. The response took an unknown part of the
 * time between request and response, so the clock is known to within that time. Not thread-safe.
 */
final class StoreClock {
    private long nowMs;
    private long sentAt;
    private long receivedAt;
    private boolean known;

    /**
     * Records a response.
     *
     * @param storeNowMs clock that the response states
     * @param requestSentAt time of the request, in nanoseconds of the ticker
     * @param responseReceivedAt time of the response, in nanoseconds of the ticker
     */
    void record(long storeNowMs, long requestSentAt, long responseReceivedAt) {
        nowMs = storeNowMs;
        sentAt = requestSentAt;
        receivedAt = responseReceivedAt;
        known = true;
    }

    /** Returns whether a response was recorded. */
    boolean isKnown() {
        return known;
    }

    /** Returns the earliest time that the store's clock may show. */
    long earliestMs(long now) {
        return nowMs + TimeUnit.NANOSECONDS.toMillis(now - receivedAt);
    }

    /** Returns the latest time that the store's clock may show. */
    long latestMs(long now) {
        return nowMs + 1 + TimeUnit.NANOSECONDS.toMillis(now - sentAt);
    }
}
