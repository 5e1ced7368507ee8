package org.godwithoist.targets;

/**
 * Estimates the median of positive samples without storing them: each sample moves the estimate one
 * step up or down, whatever its distance, so that a single extreme sample changes little. The steps
 * shrink with the number of samples. Changed by one thread at a time; the value may be read by any.
 */
final class MedianEstimate {
    /** Relative size of the first step. */
    private static final double FIRST_STEP = 0.25;

    /** Relative size of all steps after the first samples, so that the estimate follows changes. */
    private static final double MIN_STEP = 0.02;

    private final double min;
    private final double max;
    private volatile double value;
    private int samples;

    /**
     * Creates an estimate.
     *
     * @param start value before the first sample
     * @param min lower limit
     * @param max upper limit
     */
    MedianEstimate(double start, double min, double max) {
        this.min = min;
        this.max = max;
        value = start;
    }

    void record(double sample) {
        double step = 1 + Math.max(MIN_STEP, FIRST_STEP / (1 + samples));
        samples = Math.min(samples + 1, Integer.MAX_VALUE - 1);
        value = Math.clamp(sample > value ? value * step : value / step, min, max);
    }

    double value() {
        return value;
    }
}
