package org.godwithoist.core.time;

import java.time.Duration;

/** The shorter and the longer of two times. */
public final class Durations {
    private Durations() {}

    /** Returns the shorter time. */
    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    /** Returns the longer time. */
    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
