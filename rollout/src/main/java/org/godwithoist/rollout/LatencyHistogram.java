package org.godwithoist.rollout;

import java.time.Duration;
import java.util.Arrays;

/** Immutable counts of responses by latency, in logarithmic buckets. */
public final class LatencyHistogram {
    /** Number of buckets. */
    public static final int BUCKETS = 16;

    /** Histogram without responses. */
    public static final LatencyHistogram EMPTY = new LatencyHistogram(new long[BUCKETS]);

    /** Upper bound of the first bucket, in milliseconds. */
    private static final double FIRST_BOUND_MS = 16;

    /**
     * Ratio of neighbouring bounds. The last bucket begins at 4.7 s; a response several times
     * slower than another one is at least two buckets away.
     */
    private static final double GROWTH = 1.5;

    private static final double MEDIAN = 0.5;
    private static final double NANOS_PER_MS = 1e6;

    private final long[] counts;

    private LatencyHistogram(long[] counts) {
        this.counts = counts;
    }

    /**
     * Creates a histogram of given counts.
     *
     * @throws IllegalArgumentException if there are not {@value #BUCKETS} counts, or one is
     *     negative
     */
    public static LatencyHistogram of(long... counts) {
        if (counts.length != BUCKETS || Arrays.stream(counts).anyMatch(c -> c < 0)) {
            throw new IllegalArgumentException(
                    "a histogram has " + BUCKETS + " counts, none negative");
        }
        return new LatencyHistogram(counts.clone());
    }

    /** Returns the bucket of a latency. */
    public static int bucketOf(Duration latency) {
        double ms = latency.toNanos() / NANOS_PER_MS;
        if (ms <= FIRST_BOUND_MS) {
            return 0;
        }
        int bucket = (int) Math.ceil(Math.log(ms / FIRST_BOUND_MS) / Math.log(GROWTH));
        return Math.min(BUCKETS - 1, bucket);
    }

    /** Returns the count of one bucket. */
    public long count(int bucket) {
        return counts[bucket];
    }

    /** Returns the number of responses. */
    public long total() {
        return Arrays.stream(counts).sum();
    }

    /** Returns the number of responses in buckets above the given one. */
    public long above(int bucket) {
        long sum = 0;
        for (int i = bucket + 1; i < BUCKETS; i++) {
            sum += counts[i];
        }
        return sum;
    }

    /**
     * Returns an estimate of the median, interpolated within its bucket; zero without responses.
     */
    public Duration median() {
        double half = total() * MEDIAN;
        long below = 0;
        for (int i = 0; i < BUCKETS && half > 0; i++) {
            if (below + counts[i] >= half) {
                double position = i - 1 + (half - below) / counts[i];
                double ms = FIRST_BOUND_MS * Math.pow(GROWTH, position);
                return Duration.ofNanos((long) (ms * NANOS_PER_MS));
            }
            below += counts[i];
        }
        return Duration.ZERO;
    }

    /** Returns the sum of both histograms. */
    public LatencyHistogram plus(LatencyHistogram other) {
        long[] sum = counts.clone();
        Arrays.setAll(sum, i -> counts[i] + other.counts[i]);
        return new LatencyHistogram(sum);
    }

    /** Returns what was added since an earlier histogram; no count becomes negative. */
    public LatencyHistogram minus(LatencyHistogram earlier) {
        long[] difference = counts.clone();
        Arrays.setAll(difference, i -> Math.max(0, counts[i] - earlier.counts[i]));
        return new LatencyHistogram(difference);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LatencyHistogram o && Arrays.equals(counts, o.counts);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(counts);
    }

    @Override
    public String toString() {
        return Arrays.toString(counts);
    }
}
