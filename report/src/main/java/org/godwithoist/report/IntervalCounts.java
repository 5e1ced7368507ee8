package org.godwithoist.report;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * Request counts of one interval. Mutable and not thread-safe.
 *
 * @param number interval number: full intervals since the Unix epoch
 * @param series counts by series
 */
public record IntervalCounts(long number, Map<SeriesKey, SeriesCounts> series) {
    /** Length of an interval; the shortest window (5 min) contains five intervals. */
    public static final Duration LENGTH = Duration.ofMinutes(1);

    /** Returns counts without any requests. */
    public static IntervalCounts empty(long number) {
        return new IntervalCounts(number, new TreeMap<>());
    }

    /** Returns the number of the interval that contains an instant. */
    public static long numberOf(Instant instant) {
        return instant.getEpochSecond() / LENGTH.toSeconds();
    }

    /** Returns the counts of a series and adds the series if it is absent. */
    public SeriesCounts getOrAdd(SeriesKey key) {
        return series.computeIfAbsent(key, k -> new SeriesCounts());
    }

    /** Adds the counts of another interval or daemon. */
    public void add(IntervalCounts other) {
        other.series.forEach((key, counts) -> getOrAdd(key).add(counts));
    }
}
