package org.godwithoist.overload;

import java.time.Duration;

/** Count of events that loses weight exponentially with their age. Not thread-safe. */
final class DecayingCount {
    private final double timeConstantNanos;
    private double count;
    private long updatedAt;

    DecayingCount(Duration timeConstant, long now) {
        timeConstantNanos = timeConstant.toNanos();
        updatedAt = now;
    }

    void add(double amount, long now) {
        count = at(now) + amount;
        updatedAt = now;
    }

    /** Returns the weighted count. */
    double at(long now) {
        return count * Math.exp(-Math.max(0, now - updatedAt) / timeConstantNanos);
    }
}
