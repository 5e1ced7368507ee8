package org.godwithoist.admission;

/**
 * A target's own report of its load. It lags.
 *
 * @param incarnation run of the target; changes when it restarts
 * @param running requests in progress
 * @param queued requests accepted but not begun
 * @param modelLoaded whether the target can serve at normal speed soon
 * @param takenAt latest instant at which the counts can have been true, in nanoseconds of this
 *     daemon's ticker
 */
public record TargetLoadReport(
        String incarnation, int running, int queued, boolean modelLoaded, long takenAt) {
    /** Returns the requests that the target has accepted and not finished. */
    public int accepted() {
        return running + queued;
    }
}
