package org.godwithoist.cli.log;

import java.util.Arrays;

/** Latencies in milliseconds. All values are retained, because a log contains each of them. */
final class Times {
    private static final int FIRST_SIZE = 16;
    private static final double PERCENT = 100;

    private long[] times = new long[FIRST_SIZE];
    private int count;

    void add(long ms) {
        if (count == times.length) {
            times = Arrays.copyOf(times, 2 * count);
        }
        times[count] = ms;
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
        long[] sorted = Arrays.copyOf(times, count);
        Arrays.sort(sorted);
        return sorted[(int) Math.ceil(percent / PERCENT * count) - 1];
    }
}
