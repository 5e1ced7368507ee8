package org.godwithoist.rollout;

import java.time.Duration;

/** How a version can be worse than another one. */
enum Symptom {
    /** More of its responses are failures. */
    FAILURES(0.05) {
        @Override
        Contingency compare(Counts canary, Counts baseline) {
            return new Contingency(
                    Math.min(canary.failures(), canary.answers()),
                    canary.answers(),
                    Math.min(baseline.failures(), baseline.answers()),
                    baseline.answers());
        }
    },
    /**
     * More of its responses are several times slower than the median of the baseline. A smaller
     * multiple would count targets that are slow for a moment, which happens to both versions.
     */
    SLOW_RESPONSES(0.15) {
        @Override
        Contingency compare(Counts canary, Counts baseline) {
            Duration median = baseline.latencies().median();
            int bucket = LatencyHistogram.bucketOf(multipliedBy(median, SLOW_MULTIPLE));
            return new Contingency(
                    canary.latencies().above(bucket),
                    canary.latencies().total(),
                    baseline.latencies().above(bucket),
                    baseline.latencies().total());
        }
    };

    /**
     * Multiple of the baseline's median from which a response counts as slow. Bounds of buckets
     * raise it by up to a half.
     */
    static final double SLOW_MULTIPLE = 2.5;

    private final double minDifference;

    /**
     * Creates a symptom.
     *
     * @param minDifference difference of the proportions below which a version is not called bad,
     *     however significant the difference is
     */
    Symptom(double minDifference) {
        this.minDifference = minDifference;
    }

    /** Returns the bad responses of both releases. */
    abstract Contingency compare(Counts canary, Counts baseline);

    /** Returns whether a difference is large enough to matter. */
    boolean isRelevant(Contingency table) {
        return table.difference() >= minDifference;
    }

    static Duration multipliedBy(Duration duration, double factor) {
        return Duration.ofNanos((long) (duration.toNanos() * factor));
    }
}
