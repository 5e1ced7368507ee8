package org.godwithoist.rollout;

/**
 * Immutable counts of one release on one route.
 *
 * @param sent attempts sent to targets
 * @param answers attempts whose response began, or that failed before
 * @param failures attempts that failed, before or after their response began
 * @param cancelled attempts that ended without an answer and say nothing about the target
 * @param ended attempts that are over, for whatever reason
 * @param latencies times to the first byte of the responses that began
 */
public record Counts(
        long sent,
        long answers,
        long failures,
        long cancelled,
        long ended,
        LatencyHistogram latencies) {
    /** No requests. */
    public static final Counts NONE = new Counts(0, 0, 0, 0, 0, LatencyHistogram.EMPTY);

    /**
     * Validates the counts.
     *
     * @throws IllegalArgumentException if a count is negative
     */
    public Counts {
        if (sent < 0 || answers < 0 || failures < 0 || cancelled < 0 || ended < 0) {
            throw new IllegalArgumentException("counts must not be negative");
        }
    }

    /** Returns the attempts that are not over; 0 if more ends than starts are known. */
    public long inFlight() {
        return Math.max(0, sent - ended);
    }

    /** Returns the sum of both counts. */
    public Counts plus(Counts other) {
        return new Counts(
                sent + other.sent,
                answers + other.answers,
                failures + other.failures,
                cancelled + other.cancelled,
                ended + other.ended,
                latencies.plus(other.latencies));
    }

    /** Returns what was added since earlier counts; no count becomes negative. */
    public Counts minus(Counts earlier) {
        return new Counts(
                Math.max(0, sent - earlier.sent),
                Math.max(0, answers - earlier.answers),
                Math.max(0, failures - earlier.failures),
                Math.max(0, cancelled - earlier.cancelled),
                Math.max(0, ended - earlier.ended),
                latencies.minus(earlier.latencies));
    }
}
