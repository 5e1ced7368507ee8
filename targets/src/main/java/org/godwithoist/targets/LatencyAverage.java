package org.godwithoist.targets;

import java.time.Duration;

/**
 * Moving average of the latencies of one target. It loses weight with age, because a target that
 * was slow gets few requests, and only a request shows that it is fast again. Not thread-safe.
 */
final class LatencyAverage {
    /** Weight of a response to a request that was sent while the average had its full weight. */
    private static final double MIN_RESPONSE_WEIGHT = 0.3;

    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(3).toNanos();

    private double averageMs;
    private boolean hasResponse;
    private long refreshedAt;

    /** Returns the weight of the average, from 1 when it is new to 0; 0 if there is none. */
    double weight(long now) {
        return hasResponse ? Math.pow(0.5, (now - refreshedAt) / HALF_LIFE_NANOS) : 0;
    }

    /**
     * Records that a request is sent. The average has its full weight again until the response
     * arrives, so that a target that is tried again gets one request and not several.
     */
    void recordSent(long now) {
        refreshedAt = now;
    }

    /**
     * Records a response.
     *
     * @param latencyMs time to its first byte
     * @param weightAtSending weight of the average when the request was sent
     */
    void recordResponse(double latencyMs, double weightAtSending, long now) {
        double weight = 1 - (1 - MIN_RESPONSE_WEIGHT) * weightAtSending;
        averageMs = hasResponse ? averageMs + weight * (latencyMs - averageMs) : latencyMs;
        hasResponse = true;
        refreshedAt = now;
    }

    /** Returns the average without regard to its age; infinite if there is none. */
    double averageMs() {
        return hasResponse ? averageMs : Double.POSITIVE_INFINITY;
    }

    /**
     * Returns the expected latency, for which another one stands in as far as the average has lost
     * its weight.
     */
    double expectedMs(double substituteMs, long now) {
        return hasResponse ? substituteMs + weight(now) * (averageMs - substituteMs) : substituteMs;
    }
}
