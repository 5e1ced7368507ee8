package org.godwithoist.loadtool.admission;

/**
 * Faults injected into a simulation, each during a fixed interval of the run. Load peaks are
 * reported for each fault.
 */
enum Faults {
    /** No fault; load reports lag as they always do. */
    NONE(0, 0),
    /** The first engine is missing from the host list of every second daemon. */
    LISTS_DISAGREE(100, 130),
    /**
     * The shard owner is paused for longer than its lease; the interval includes the time after it
     * resumes.
     */
    OWNER_PAUSED(200, 240),
    /** The store is unavailable. */
    STORE_DOWN(300, 480),
    /** One workspace sends ten times its usual load; see {@link Turn#trace}. */
    SURGE(520, 570);

    /**
     * Pause of the owner; longer than a lease, which lasts 6 s, and a takeover, which takes 8.5 s.
     */
    static final int PAUSE_SECONDS = 20;

    private final int from;
    private final int to;

    Faults(int from, int to) {
        this.from = from;
        this.to = to;
    }

    int from() {
        return from;
    }

    int to() {
        return to;
    }

    boolean at(long nanos) {
        return nanos >= from * VirtualTime.SECOND && nanos < to * VirtualTime.SECOND;
    }

    static Faults current(long nanos) {
        for (Faults f : values()) {
            if (f.at(nanos)) {
                return f;
            }
        }
        return NONE;
    }
}
