package org.godwithoist.core.time;

import java.time.Duration;

/** Utility methods for {@link Duration}. */
public final class Durations {
    private Durations() {}

    /** Returns the shorter duration. */
    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    /** Returns the longer duration. */
    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
