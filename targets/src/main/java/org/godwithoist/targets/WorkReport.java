package org.godwithoist.targets;

import java.util.Map;

/**
 * What one daemon reports about the work of targets.
 *
 * @param incarnation start time of the reporting daemon
 * @param sequence increases with each report of an incarnation
 * @param scope daemons whose work is counted
 * @param complete whether the work of all daemons in the scope is included
 * @param work outstanding work at each target; targets without work are absent
 * @param workTimes newest readings that the reporting daemon knows, its own and those of others
 */
public record WorkReport(
        long incarnation,
        long sequence,
        PeerLoads.Scope scope,
        boolean complete,
        Map<TargetKey, TokenWork> work,
        Map<TargetKey, WorkTimeReading> workTimes) {
    /** Copies the maps. */
    public WorkReport {
        work = Map.copyOf(work);
        workTimes = Map.copyOf(workTimes);
    }
}
