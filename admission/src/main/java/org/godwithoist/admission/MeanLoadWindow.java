package org.godwithoist.admission;

import java.util.Arrays;

/**
 * Lower bound of the maximum mean load per engine of a shard during the last seconds. Each holder
 * reports the minimum number of slots that it had in use throughout an interval of the owner's
 * clock. The counts of different holders are added only where their intervals overlap, because a
 * sum of counts from different instants can exceed the load at every instant. Not thread-safe.
 */
final class MeanLoadWindow {
    /**
     * Slices are short compared to the report interval (500 ms), so that few intervals end within a
     * slice.
     */
    private static final long SLICE_NANOS = 100_000_000;

    /**
     * The skew bound refers to the mean of the last 10 s. A grant computed now reaches the target
     * within 2.5 s, so only the last 7 s may support it.
     */
    private static final int SLICES = 70;

    private final long[] slice = new long[SLICES];
    private final int[] inUse = new int[SLICES];
    private final int[] engines = new int[SLICES];

    /** Last interval of a holder; its last slice may be shared with the next interval. */
    static final class HolderInterval {
        private long to = Long.MIN_VALUE;
        private long coveredFrom;
        private int count;
    }

    MeanLoadWindow() {
        Arrays.fill(slice, Long.MIN_VALUE);
    }

    /** Records the current number of engines in service. */
    void recordEngines(int count, long now) {
        int i = sliceIndex(Math.floorDiv(now, SLICE_NANOS));
        engines[i] = Math.max(engines[i], count);
    }

    /**
     * Adds the count of a holder for an interval. All instants are in nanoseconds of the owner's
     * clock.
     *
     * @param lastInterval last interval of the holder; updated
     * @param from start of the interval
     * @param to end of the interval
     * @param count slots in use throughout the interval
     * @param now current instant
     */
    void add(HolderInterval lastInterval, long from, long to, int count, long now) {
        if (to <= from
                || to - now > 0
                || (lastInterval.to != Long.MIN_VALUE && from < lastInterval.to)) {
            return;
        }
        long first = Math.floorDiv(from, SLICE_NANOS);
        long last = Math.floorDiv(to, SLICE_NANOS);
        long oldest = Math.floorDiv(now, SLICE_NANOS) - SLICES + 1;
        boolean contiguous = lastInterval.to == from;
        if (!contiguous) {
            lastInterval.coveredFrom = from;
        }
        boolean sharedSliceCovered =
                contiguous && first < last && lastInterval.coveredFrom <= first * SLICE_NANOS;
        if (sharedSliceCovered && first >= oldest) {
            inUse[sliceIndex(first)] += Math.min(lastInterval.count, count);
        }
        for (long s = Math.max(first + 1, oldest); s < last; s++) {
            inUse[sliceIndex(s)] += count;
        }
        // An interval within one slice lowers the count that holds for the whole slice.
        lastInterval.count =
                contiguous && first == last ? Math.min(lastInterval.count, count) : count;
        lastInterval.to = to;
    }

    /**
     * Returns the maximum mean load of the window. The divisor is the maximum number of engines of
     * the window, because holders may report the load of an engine that the owner no longer counts
     * as in service.
     */
    double maxMean(int enginesNow, long now) {
        long newest = Math.floorDiv(now, SLICE_NANOS);
        int maxInUse = 0;
        int divisor = Math.max(1, enginesNow);
        for (int i = 0; i < SLICES; i++) {
            if (slice[i] > newest - SLICES) {
                maxInUse = Math.max(maxInUse, inUse[i]);
                divisor = Math.max(divisor, engines[i]);
            }
        }
        return (double) maxInUse / divisor;
    }

    private int sliceIndex(long number) {
        int i = (int) Math.floorMod(number, (long) SLICES);
        if (slice[i] != number) {
            slice[i] = number;
            inUse[i] = 0;
            engines[i] = 0;
        }
        return i;
    }
}
