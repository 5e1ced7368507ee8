package org.godwithoist.targets;

import java.util.List;

/** Expected response times of one request without a prompt. Not thread-safe. */
final class ResponseTimes {
    /** Additional response time of a target in another failure domain, in milliseconds. */
    static final double CROSS_DOMAIN_LATENCY_MS = 3;

    /** Assumed response time while no target has responded yet, in milliseconds. */
    private static final double DEFAULT_LATENCY_MS = 20;

    /**
     * Multiple of the lowest latency from which a target counts as slow. Below it, the jitter lets
     * the target get requests.
     */
    private static final double SLOW_FACTOR = 2;

    private final RankingInput input;
    private final double lowestLatencyMs;
    private boolean probeTaken;

    ResponseTimes(RankingInput input) {
        this.input = input;
        lowestLatencyMs = lowestLatencyMs(input.eligible());
    }

    /**
     * Returns the lowest average latency in milliseconds. It stands in for latencies that are
     * unknown or old: a target that counted as slower than the others would get no request, and so
     * its latency would never be known.
     */
    private static double lowestLatencyMs(List<Target> targets) {
        double lowest = Double.POSITIVE_INFINITY;
        for (Target t : targets) {
            lowest = Math.min(lowest, t.averageLatencyMs());
        }
        return Double.isFinite(lowest) ? lowest : DEFAULT_LATENCY_MS;
    }

    /**
     * Returns the expected response time with random jitter, in milliseconds. A slow target whose
     * probe is due counts as responding like the fastest one, without jitter, so that it gets the
     * request unless its load or its failure domain rules it out.
     *
     * @param load estimated requests at the target
     * @param workTime how long work takes on its host, as a multiple of the usual time
     */
    double expectedMs(Target target, double load, double workTime) {
        int slots = target.entry().slots();
        double queued = Math.max(0, load + 1 - slots);
        double expectedLatency = target.expectedLatencyMs(lowestLatencyMs);
        boolean probe = queued == 0 && takeProbe(target, expectedLatency);
        double latency = (probe ? lowestLatencyMs : expectedLatency) * workTime;
        double jitter = probe ? 0 : 1 + input.random().nextDouble();
        double utilization = load / slots;
        return latency * (jitter + utilization + queued / slots) + domainPenaltyMs(target);
    }

    /** Takes the probe of a slow target, if it is due; at most one for a request. */
    private boolean takeProbe(Target target, double latencyMs) {
        if (probeTaken || latencyMs <= SLOW_FACTOR * lowestLatencyMs) {
            return false;
        }
        probeTaken = target.takeProbe();
        return probeTaken;
    }

    private double domainPenaltyMs(Target target) {
        return target.entry().domain().equals(input.localDomain()) ? 0 : CROSS_DOMAIN_LATENCY_MS;
    }
}
