package org.godwithoist.overload;

import java.time.Duration;

/**
 * Guarantees each kind of request, by priority, a fraction of the slots in proportion to its
 * arrivals, so that a strict order by priority does not starve the less urgent kinds. Not
 * thread-safe.
 */
final class KindFloors {
    /** Number of priorities; larger values count as the last. */
    static final int KINDS = 10;

    private static final Duration WINDOW = Duration.ofSeconds(2);

    /** Guaranteed requests that a kind can save up. */
    private static final double MAX_SAVED = 2;

    private final double floor;
    private final DecayingCount[] arrivals = new DecayingCount[KINDS];
    private final double[] saved = new double[KINDS];

    KindFloors(double floor, long now) {
        this.floor = floor;
        for (int i = 0; i < KINDS; i++) {
            arrivals[i] = new DecayingCount(WINDOW, now);
        }
    }

    private static int kind(int priority) {
        return Math.clamp(priority, 0, KINDS - 1);
    }

    void arrived(int priority, long now) {
        arrivals[kind(priority)].add(1, now);
    }

    /** Counts a request that gets a slot. */
    void served(int priority, long now) {
        double total = 0;
        for (DecayingCount a : arrivals) {
            total += a.at(now);
        }
        for (int i = 0; i < KINDS && total > 0; i++) {
            saved[i] = Math.min(MAX_SAVED, saved[i] + floor * arrivals[i].at(now) / total);
        }
        int kind = kind(priority);
        saved[kind] = Math.max(0, saved[kind] - 1);
    }

    /** Returns how many requests of a kind come before more urgent ones. */
    int guaranteed(int priority) {
        return (int) saved[kind(priority)];
    }
}
