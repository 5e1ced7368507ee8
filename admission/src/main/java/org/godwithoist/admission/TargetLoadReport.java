package org.godwithoist.admission;

/**
 * Load of a target as reported by the target itself. It lags behind the actual load.
 *
 * @param incarnation run of the target; changes with a restart
 * @param running requests in progress
 * @param queued requests accepted but not started
 * @param modelLoaded whether the target can respond at normal speed soon
 * @param sampledAt latest instant at which the counts can have been true, in nanoseconds of this
 *     daemon's ticker
 */
public record TargetLoadReport(
        String incarnation, int running, int queued, boolean modelLoaded, long sampledAt) {
    /** Returns the number of requests that the target has accepted and not finished. */
    public int accepted() {
        return running + queued;
    }
}
