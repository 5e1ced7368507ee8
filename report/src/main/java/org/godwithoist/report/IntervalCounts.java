package org.godwithoist.report;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of one interval.
 *
 * @param number number of the interval since the epoch of the wall clock
 * @param series counts by series
 */
public record IntervalCounts(long number, Map<SeriesKey, SeriesCounts> series) {
    /** Length of an interval; the shortest window (5 min) has five of them. */
    public static final Duration LENGTH = Duration.ofMinutes(1);

    /** Returns counts without answers. */
    public static IntervalCounts empty(long number) {
        return new IntervalCounts(number, new TreeMap<>());
    }

    /** Returns the number of the interval of an instant. */
    public static long numberOf(Instant instant) {
        return instant.getEpochSecond() / LENGTH.toSeconds();
    }

    /** Returns the counts of a series, which may be new. */
    public SeriesCounts of(SeriesKey key) {
        return series.computeIfAbsent(key, k -> new SeriesCounts());
    }

    /** Adds other counts. */
    public void add(IntervalCounts other) {
        other.series.forEach((key, counts) -> of(key).add(counts));
    }
}
