package org.godwithoist.loadtool.admission;

/**
 * Faults injected into a simulation, each during a fixed interval of the run. Load peaks are
 * reported for each fault.
 */
enum InjectedFault {
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
    /**
     * One workspace sends ten times its usual load from 520 s to 560 s, as {@link
     * Turn#generateTrace} generates it; the interval includes the 10 s after it.
     */
    SURGE(520, 570);

    /**
     * Pause of the owner; longer than a lease, which lasts 6 s, and a takeover, which takes 8.5 s.
     */
    static final int OWNER_PAUSE_SECONDS = 20;

    private final int fromSecond;
    private final int toSecond;

    InjectedFault(int fromSecond, int toSecond) {
        this.fromSecond = fromSecond;
        this.toSecond = toSecond;
    }

    int fromSecond() {
        return fromSecond;
    }

    int toSecond() {
        return toSecond;
    }

    boolean isActive(long nanos) {
        return nanos >= fromSecond * EventScheduler.NANOS_PER_SECOND
                && nanos < toSecond * EventScheduler.NANOS_PER_SECOND;
    }

    static InjectedFault current(long nanos) {
        for (InjectedFault f : values()) {
            if (f.isActive(nanos)) {
                return f;
            }
        }
        return NONE;
    }
}
