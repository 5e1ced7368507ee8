package org.godwithoist.report;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.PackedHistogram;
import org.godwithoist.core.error.ErrorCode;

/**
 * Request counts and latencies of one series. Not thread-safe. Packed histograms use memory only
 * for recorded values; a report holds hundreds of them for each series.
 */
public final class SeriesCounts {
    /**
     * Two significant digits keep the error of a percentile below 1 % and the stored rows short.
     */
    private static final int SIGNIFICANT_DIGITS = 2;

    private static final long MAX_MICROS = Duration.ofMinutes(10).toNanos() / 1_000;

    /** Shared placeholder for a histogram without values; nothing is recorded in it. */
    private static final Histogram EMPTY = new PackedHistogram(SIGNIFICANT_DIGITS);

    private long good;
    private long late;
    private final Map<ErrorCode, Long> refused = new EnumMap<>(ErrorCode.class);
    private final Map<ErrorCode, Long> failed = new EnumMap<>(ErrorCode.class);
    private Histogram firstToken = EMPTY;
    private Histogram betweenTokens = EMPTY;

    /** Adds complete responses within the latency objectives. */
    public void addGood(long count) {
        good += count;
    }

    /** Adds complete responses that exceeded a latency objective. */
    public void addLate(long count) {
        late += count;
    }

    /**
     * Adds requests without a complete response.
     *
     * @param outcome {@link Outcome#REFUSED} or {@link Outcome#FAILED}
     */
    public void add(Outcome outcome, ErrorCode cause, long count) {
        (outcome == Outcome.REFUSED ? refused : failed).merge(cause, count, Long::sum);
    }

    /** Adds times to the first token, in microseconds; clamped to 10 min. */
    public void addFirstToken(long micros, long count) {
        firstToken = writable(firstToken);
        firstToken.recordValueWithCount(Math.clamp(micros, 0, MAX_MICROS), count);
    }

    /** Adds times between tokens, in microseconds; clamped to 10 min. */
    public void addBetweenTokens(long micros, long count) {
        betweenTokens = writable(betweenTokens);
        betweenTokens.recordValueWithCount(Math.clamp(micros, 0, MAX_MICROS), count);
    }

    /** Adds the counts of another daemon or interval. */
    public void add(SeriesCounts other) {
        good += other.good;
        late += other.late;
        other.refused.forEach((cause, n) -> refused.merge(cause, n, Long::sum));
        other.failed.forEach((cause, n) -> failed.merge(cause, n, Long::sum));
        if (other.firstToken.getTotalCount() > 0) {
            firstToken = writable(firstToken);
            firstToken.add(other.firstToken);
        }
        if (other.betweenTokens.getTotalCount() > 0) {
            betweenTokens = writable(betweenTokens);
            betweenTokens.add(other.betweenTokens);
        }
    }

    /** Discards the latencies, which use most of the memory. */
    void dropLatencies() {
        firstToken = EMPTY;
        betweenTokens = EMPTY;
    }

    private static Histogram writable(Histogram h) {
        return h.getTotalCount() == 0 ? new PackedHistogram(SIGNIFICANT_DIGITS) : h;
    }

    /** Returns the number of complete responses within the latency objectives. */
    public long good() {
        return good;
    }

    /** Returns the number of complete responses that exceeded a latency objective. */
    public long late() {
        return late;
    }

    /** Returns the number of refused requests by error code. */
    public Map<ErrorCode, Long> refused() {
        return refused;
    }

    /** Returns the number of failed requests by error code. */
    public Map<ErrorCode, Long> failed() {
        return failed;
    }

    /** Returns the times to the first token, in microseconds; empty if none were recorded. */
    public Histogram firstToken() {
        return firstToken;
    }

    /** Returns the times between tokens, in microseconds; empty if none were recorded. */
    public Histogram betweenTokens() {
        return betweenTokens;
    }

    /** Returns the number of requests that spend the error budget. */
    public long bad() {
        return late
                + countSpendingBudget(Outcome.REFUSED, refused)
                + countSpendingBudget(Outcome.FAILED, failed);
    }

    /** Returns the number of requests that the objective covers, which excludes caller errors. */
    public long total() {
        return good + bad();
    }

    private static long countSpendingBudget(Outcome outcome, Map<ErrorCode, Long> causes) {
        return causes.entrySet().stream()
                .filter(e -> outcome.spendsBudget(e.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
