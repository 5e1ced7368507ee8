package org.godwithoist.targets;

import java.util.OptionalInt;

/**
 * Load that a target reports with a response.
 *
 * @param running requests that it processes
 * @param waiting requests in its queue
 * @param slots requests that it can process concurrently
 * @param workTimePercent how long work takes on the host of the target now, in percent of the usual
 *     time; empty if the target does not report it
 */
public record LoadReport(int running, int waiting, int slots, OptionalInt workTimePercent) {
    /** Creates a report without the time that work takes. */
    public LoadReport(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalInt.empty());
    }

    /** Returns the running and the queued requests. */
    public int total() {
        return running + waiting;
    }
}
