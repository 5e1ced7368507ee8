package org.godwithoist.loadtool.admission;

/** What goes wrong at a time of the run. Peaks are reported for each of them. */
enum Faults {
    /** Nothing but lagged load reports. */
    NONE(0, 0),
    /** Every other daemon does not have the first engine in its host list. */
    LISTS_DISAGREE(100, 130),
    /** The owner is paused past its lease; the phase includes the time after it wakes. */
    OWNER_PAUSED(200, 240),
    /** The store does not respond. */
    STORE_DOWN(300, 480),
    /** One workspace sends ten times its usual load. */
    SURGE(520, 570);

    /** Length of the owner's pause, in seconds; a lease lasts 6 s and a takeover takes 8.5 s. */
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
