package org.godwithoist.cli.log;

import java.util.Arrays;

/** Latencies in milliseconds. Percentiles are exact, because all values are retained. */
final class LatencySamples {
    private static final int INITIAL_CAPACITY = 16;
    private static final double PERCENT = 100;

    private long[] values = new long[INITIAL_CAPACITY];
    private int count;

    void add(long ms) {
        if (count == values.length) {
            values = Arrays.copyOf(values, 2 * count);
        }
        values[count] = ms;
        count++;
    }

    int count() {
        return count;
    }

    /** Returns a percentile by the nearest-rank method; 0 if there are no values. */
    long percentile(int percent) {
        if (count == 0) {
            return 0;
        }
        long[] sorted = Arrays.copyOf(values, count);
        Arrays.sort(sorted);
        return sorted[(int) Math.ceil(percent / PERCENT * count) - 1];
    }
}
