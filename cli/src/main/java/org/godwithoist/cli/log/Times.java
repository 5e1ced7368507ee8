package org.godwithoist.cli.log;

import java.util.Arrays;

/** Times in milliseconds, all kept: a log has them one by one anyway. */
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

    /** Returns the smallest time that so many of a hundred do not exceed; 0 if there is none. */
    long percentile(int percent) {
        if (count == 0) {
            return 0;
        }
        long[] sorted = Arrays.copyOf(times, count);
        Arrays.sort(sorted);
        return sorted[(int) Math.ceil(percent / PERCENT * count) - 1];
    }
}
