package org.godwithoist.overload;

import java.time.Duration;
import org.godwithoist.core.time.Durations;

/**
 * Time to the first byte of the targets' responses as a fraction of their latency objectives: a
 * moving average and deviation. Not thread-safe.
 */
final class FirstByteRatio {
    private static final double NEW_WEIGHT = 0.05;

    /** A request tolerates to wait for at least this fraction of its latency objective. */
    private static final int MIN_TOLERANCE_DIVISOR = 8;

    private double mean;
    private double deviation;
    private boolean hasValue;

    void record(double ratio) {
        if (!hasValue) {
            mean = ratio;
            hasValue = true;
            return;
        }
        deviation += NEW_WEIGHT * (Math.abs(ratio - mean) - deviation);
        mean += NEW_WEIGHT * (ratio - mean);
    }

    /**
     * Returns the longest wait of a request: what its latency objective leaves beside the time that
     * most responses take.
     */
    Duration tolerance(AdmissionRequest request) {
        long objective = request.latencyObjective().toNanos();
        long left = (long) (objective * Math.max(0, 1 - mean - deviation));
        Duration wait = Duration.ofNanos(Math.max(objective / MIN_TOLERANCE_DIVISOR, left));
        return Durations.min(request.timeLeft(), wait);
    }
}
