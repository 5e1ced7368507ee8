package org.godwithoist.targets;

import java.time.Duration;

/**
 * Moving average of the latencies of one target. It loses weight with age, because a target that
 * was slow gets few requests, and only a request shows that it is fast again. Before that, a slow
 * target gets single requests as probes, at intervals that grow while it stays slow. Not
 * thread-safe.
 */
final class LatencyAverage {
    /** Weight of a response to a request that was sent while the average had its full weight. */
    private static final double MIN_RESPONSE_WEIGHT = 0.3;

    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(3).toNanos();

    /** Time without a request after which a slow target gets its first probe. */
    private static final long MIN_PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Requests that are placed elsewhere for each probe of the shortest interval. Daemons of a
     * large fleet have few requests each, and together would send a slow target many of them.
     */
    private static final int REQUESTS_PER_PROBE = 16;

    /** Longest interval of the probes of a target that stays slow. */
    private static final long MAX_PROBE_INTERVAL_NANOS = Duration.ofSeconds(32).toNanos();

    /** A response that takes less than this part of the average shows a target that recovered. */
    private static final double RECOVERED_PART = 0.5;

    private double averageMs;
    private boolean hasResponse;
    private long refreshedAt;
    private long probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
    private long probeTakenAt;
    private boolean probing;
    private long placedElsewhere;

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
     * Takes the probe of a slow target, if it is due. The next one is due an interval later, also
     * if no request is sent, so that of the requests placed at once only one is a probe. To be
     * called for each placement in which the target is slow and could get the request.
     *
     * @return whether the next request may be sent as a probe
     */
    boolean takeProbe(long now) {
        placedElsewhere++;
        long needed = REQUESTS_PER_PROBE * (probeIntervalNanos / MIN_PROBE_INTERVAL_NANOS);
        boolean isDue =
                hasResponse
                        && placedElsewhere > needed
                        && now - refreshedAt >= probeIntervalNanos
                        && (!probing || now - probeTakenAt >= probeIntervalNanos);
        if (isDue) {
            // A probe without a response, from a target that hangs, also shows that it is slow.
            doubleProbeInterval(probing);
            probing = true;
            probeTakenAt = now;
            placedElsewhere = 0;
        }
        return isDue;
    }

    private void doubleProbeInterval(boolean isSlow) {
        if (isSlow) {
            probeIntervalNanos = Math.min(MAX_PROBE_INTERVAL_NANOS, 2 * probeIntervalNanos);
        }
    }

    /**
     * Records a response. That to a probe replaces the average if the target has recovered, and
     * otherwise doubles the interval of the probes.
     *
     * @param latencyMs time to its first byte
     * @param weightAtSending weight of the average when the request was sent
     */
    void recordResponse(double latencyMs, double weightAtSending, long now) {
        boolean recovered = hasResponse && latencyMs < RECOVERED_PART * averageMs;
        double weight = 1 - (1 - MIN_RESPONSE_WEIGHT) * weightAtSending;
        if (!hasResponse || (probing && recovered)) {
            averageMs = latencyMs;
        } else {
            averageMs += weight * (latencyMs - averageMs);
        }
        if (recovered) {
            probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
        } else {
            doubleProbeInterval(probing);
        }
        probing = false;
        placedElsewhere = 0;
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
