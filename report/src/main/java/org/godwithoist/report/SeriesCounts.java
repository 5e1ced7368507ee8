package org.godwithoist.report;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.PackedHistogram;
import org.godwithoist.core.error.ErrorCode;

/**
 * Counts of the answers of one series. Not thread-safe. Packed histograms take memory for recorded
 * values only; a report holds hundreds of them for each series.
 */
public final class SeriesCounts {
    /** Two digits keep the error of a quantile below 1 % and the rows short. */
    private static final int DIGITS = 2;

    private static final long MAX_MICROS = Duration.ofMinutes(10).toNanos() / 1_000;

    /** Stands for a histogram that was never needed; nothing is recorded in it. */
    private static final Histogram NONE = new PackedHistogram(DIGITS);

    private long good;
    private long late;
    private final Map<ErrorCode, Long> refused = new EnumMap<>(ErrorCode.class);
    private final Map<ErrorCode, Long> failed = new EnumMap<>(ErrorCode.class);
    private Histogram firstToken = NONE;
    private Histogram betweenTokens = NONE;

    /** Adds whole answers within the objectives. */
    public void addGood(long count) {
        good += count;
    }

    /** Adds whole answers that came too late. */
    public void addLate(long count) {
        late += count;
    }

    /** Adds requests that were refused or failed. */
    public void add(Outcome outcome, ErrorCode cause, long count) {
        (outcome == Outcome.REFUSED ? refused : failed).merge(cause, count, Long::sum);
    }

    /** Adds times to the first token, in microseconds. */
    public void addFirstToken(long micros, long count) {
        firstToken = allocated(firstToken);
        firstToken.recordValueWithCount(Math.clamp(micros, 0, MAX_MICROS), count);
    }

    /** Adds times between tokens, in microseconds. */
    public void addBetweenTokens(long micros, long count) {
        betweenTokens = allocated(betweenTokens);
        betweenTokens.recordValueWithCount(Math.clamp(micros, 0, MAX_MICROS), count);
    }

    /** Adds the counts of another daemon or interval. */
    public void add(SeriesCounts other) {
        good += other.good;
        late += other.late;
        other.refused.forEach((cause, n) -> refused.merge(cause, n, Long::sum));
        other.failed.forEach((cause, n) -> failed.merge(cause, n, Long::sum));
        if (other.firstToken.getTotalCount() > 0) {
            firstToken = allocated(firstToken);
            firstToken.add(other.firstToken);
        }
        if (other.betweenTokens.getTotalCount() > 0) {
            betweenTokens = allocated(betweenTokens);
            betweenTokens.add(other.betweenTokens);
        }
    }

    /** Forgets the times, which take most of the memory. */
    void dropTimes() {
        firstToken = NONE;
        betweenTokens = NONE;
    }

    private static Histogram allocated(Histogram h) {
        return h.getTotalCount() == 0 ? new PackedHistogram(DIGITS) : h;
    }

    /** Returns whole answers within the objectives. */
    public long good() {
        return good;
    }

    /** Returns whole answers that came too late. */
    public long late() {
        return late;
    }

    /** Returns refused requests by cause. */
    public Map<ErrorCode, Long> refused() {
        return refused;
    }

    /** Returns failed requests by cause. */
    public Map<ErrorCode, Long> failed() {
        return failed;
    }

    /** Returns times to the first token, in microseconds. */
    public Histogram firstToken() {
        return firstToken;
    }

    /** Returns times between tokens, in microseconds. */
    public Histogram betweenTokens() {
        return betweenTokens;
    }

    /** Returns the requests that spend the error budget. */
    public long bad() {
        return late + spent(Outcome.REFUSED, refused) + spent(Outcome.FAILED, failed);
    }

    /** Returns the requests that the objective covers. */
    public long total() {
        return good + bad();
    }

    private static long spent(Outcome outcome, Map<ErrorCode, Long> causes) {
        return causes.entrySet().stream()
                .filter(e -> outcome.spendsBudget(e.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
