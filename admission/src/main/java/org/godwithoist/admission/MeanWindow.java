package org.godwithoist.admission;

import java.util.Arrays;

/**
 * A lower bound of the largest mean load of a shard during the last seconds. Each holder reports
 * the smallest number of slots that it had in use throughout an interval of the owner's clock. The
 * counts of all holders are added only where their intervals overlap, because a sum of counts from
 * different instants can exceed the load at every instant. Not thread-safe.
 */
final class MeanWindow {
    /** Slices are short against the intervals of reports (500 ms), so that few are split. */
    private static final long SLICE_NANOS = 100_000_000;

    /**
     * The bound of the design covers 10 s. A grant computed now is accepted within 2.5 s, so only
     * the last 7 s may support it.
     */
    private static final int SLICES = 70;

    private final long[] slice = new long[SLICES];
    private final int[] use = new int[SLICES];
    private final int[] engines = new int[SLICES];

    /** A holder's last interval; its last slice may be shared with the next interval. */
    static final class Track {
        private long to = Long.MIN_VALUE;
        private long coveredFrom;
        private int count;
    }

    MeanWindow() {
        Arrays.fill(slice, Long.MIN_VALUE);
    }

    /** Notes the number of engines in service now. */
    void engines(int count, long now) {
        int i = open(Math.floorDiv(now, SLICE_NANOS));
        engines[i] = Math.max(engines[i], count);
    }

    /**
     * Adds a holder's count for an interval.
     *
     * @param track the holder's track
     * @param from start of the interval on the owner's clock
     * @param to end of the interval
     * @param count slots in use throughout the interval
     * @param now the owner's clock
     */
    void add(Track track, long from, long to, int count, long now) {
        if (to <= from || to - now > 0 || (track.to != Long.MIN_VALUE && from < track.to)) {
            return;
        }
        long first = Math.floorDiv(from, SLICE_NANOS);
        long last = Math.floorDiv(to, SLICE_NANOS);
        long oldest = Math.floorDiv(now, SLICE_NANOS) - SLICES + 1;
        boolean joined = track.to == from;
        if (!joined) {
            track.coveredFrom = from;
        }
        boolean wholeSlice = joined && first < last && track.coveredFrom <= first * SLICE_NANOS;
        if (wholeSlice && first >= oldest) {
            use[open(first)] += Math.min(track.count, count);
        }
        for (long s = Math.max(first + 1, oldest); s < last; s++) {
            use[open(s)] += count;
        }
        // An interval within one slice lowers the count that holds for the whole slice.
        track.count = joined && first == last ? Math.min(track.count, count) : count;
        track.to = to;
    }

    /**
     * Returns the largest mean of the window. It divides by the largest number of engines of the
     * window, because holders may report the load of an engine that the owner knows to be leaving.
     */
    double max(int enginesNow, long now) {
        long newest = Math.floorDiv(now, SLICE_NANOS);
        int largestUse = 0;
        int divisor = Math.max(1, enginesNow);
        for (int i = 0; i < SLICES; i++) {
            if (slice[i] > newest - SLICES) {
                largestUse = Math.max(largestUse, use[i]);
                divisor = Math.max(divisor, engines[i]);
            }
        }
        return (double) largestUse / divisor;
    }

    private int open(long number) {
        int i = (int) Math.floorMod(number, (long) SLICES);
        if (slice[i] != number) {
            slice[i] = number;
            use[i] = 0;
            engines[i] = 0;
        }
        return i;
    }
}
