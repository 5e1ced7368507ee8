package org.godwithoist.loadtool.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** Collects the results of turns and computes statistics over them. Thread-safe. */
public final class Summary {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final List<TurnResult> results = new ArrayList<>();

    /** Adds the result of one turn. */
    public synchronized void add(TurnResult result) {
        results.add(result);
    }

    /** Returns the number of turns, whatever their outcome. */
    public synchronized int turns() {
        return results.size();
    }

    /** Returns the number of turns with the given outcome. */
    public synchronized long count(TurnResult.Outcome outcome) {
        return results.stream().filter(r -> r.outcome() == outcome).count();
    }

    /** Returns the number of rejected attempts. */
    public synchronized long rejections() {
        return results.stream().mapToLong(TurnResult::rejections).sum();
    }

    /** Returns the share of prompt tokens that were cached, 0 to 1; 0 without prompt tokens. */
    public synchronized double reuse() {
        long prompt = results.stream().mapToLong(TurnResult::promptTokens).sum();
        long cached = results.stream().mapToLong(TurnResult::cachedTokens).sum();
        return prompt == 0 ? 0 : cached / (double) prompt;
    }

    /** Returns the number of attempts that broke before the end of the response. */
    public synchronized long brokenAttempts() {
        return results.stream().mapToLong(TurnResult::brokenAttempts).sum();
    }

    /**
     * Returns the share of history tokens that were cached, 0 to 1, over complete responses. The
     * new message of a turn cannot be cached and does not count. Returns {@link Double#NaN} without
     * history.
     */
    public synchronized double historyReuse() {
        var complete = results.stream().filter(r -> r.outcome().complete()).toList();
        long history = complete.stream().mapToLong(TurnResult::historyTokens).sum();
        long cached =
                complete.stream()
                        .mapToLong(r -> Math.min(r.historyTokens(), r.cachedTokens()))
                        .sum();
        return history == 0 ? Double.NaN : cached / (double) history;
    }

    /** Returns a copy with the results that match a filter. */
    public synchronized Summary filter(Predicate<TurnResult> filter) {
        Summary filtered = new Summary();
        results.stream().filter(filter).forEach(filtered::add);
        return filtered;
    }

    /**
     * Returns a percentile of the time to the first token, over complete responses that match a
     * filter; zero if there are none.
     *
     * @param percentile 0 to 100
     */
    public synchronized Duration firstToken(double percentile, Predicate<TurnResult> filter) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        results.stream()
                .filter(r -> r.outcome().complete())
                .filter(filter)
                .forEach(r -> histogram.recordValue(r.firstToken().toNanos()));
        return Duration.ofNanos(histogram.getValueAtPercentile(percentile));
    }

    /** Returns a table of the turns by outcome and of the reuse, with one row for each interval. */
    public synchronized String timeline(long startMillis, Duration interval) {
        Map<Long, List<TurnResult>> byInterval = new TreeMap<>();
        for (TurnResult r : results) {
            long index = (r.startedMillis() - startMillis) / interval.toMillis();
            byInterval.computeIfAbsent(index, k -> new ArrayList<>()).add(r);
        }
        StringBuilder table = new StringBuilder("  from s  turns  whole  late  other  reuse\n");
        byInterval.forEach(
                (index, turns) ->
                        table.append(
                                String.format(
                                        Locale.ROOT,
                                        "  %6d %6d %6d %5d %6d %6.2f%n",
                                        index * interval.toSeconds(),
                                        turns.size(),
                                        outcomes(turns).getOrDefault(TurnResult.Outcome.WHOLE, 0),
                                        outcomes(turns).getOrDefault(TurnResult.Outcome.LATE, 0),
                                        turns.stream().filter(r -> !r.outcome().complete()).count(),
                                        reuse(turns))));
        return table.toString();
    }

    private static Map<TurnResult.Outcome, Integer> outcomes(List<TurnResult> turns) {
        Map<TurnResult.Outcome, Integer> counts = new EnumMap<>(TurnResult.Outcome.class);
        turns.forEach(r -> counts.merge(r.outcome(), 1, Integer::sum));
        return counts;
    }

    private static double reuse(List<TurnResult> turns) {
        long prompt = turns.stream().mapToLong(TurnResult::promptTokens).sum();
        long cached = turns.stream().mapToLong(TurnResult::cachedTokens).sum();
        return prompt == 0 ? 0 : cached / (double) prompt;
    }
}
