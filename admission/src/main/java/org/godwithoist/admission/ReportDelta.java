package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;

/**
 * The difference between a report and its base, with numbers in place of names. Without a base it
 * is the complete report.
 *
 * @param shard the shard
 * @param epoch epoch of the owner that the report is meant for
 * @param incarnation run of the holder
 * @param sequence number of the report within the run
 * @param base sequence of the base; 0 for a complete report
 * @param certainFrom start of the certain interval, relative to the end of the base's interval
 * @param certainTo end of the certain interval, relative to the stamp of the answer to the base
 * @param minUse smallest number of slots in use, relative to the base
 * @param names names that get the next free numbers
 * @param uses use of each target that differs from the base
 * @param ended targets that have a use in the base and none in this report
 * @param demands all waiting requests
 * @param speeds times to the first token since the last report
 */
public record ReportDelta(
        ShardId shard,
        long epoch,
        long incarnation,
        long sequence,
        long base,
        long certainFrom,
        long certainTo,
        int minUse,
        List<String> names,
        List<Use> uses,
        List<Integer> ended,
        List<Demand> demands,
        List<Speed> speeds) {
    /** Copies the lists. */
    public ReportDelta {
        names = List.copyOf(names);
        uses = List.copyOf(uses);
        ended = List.copyOf(ended);
        demands = List.copyOf(demands);
        speeds = List.copyOf(speeds);
    }

    /** Use of one target; see {@link SlotReport.TargetUse}. */
    public record Use(
            int target,
            int inUse,
            int unused,
            int reservedInUse,
            int minInUse,
            int reservedHeld,
            int grown,
            int targetIncarnation) {}

    /** Waiting requests; see {@link SlotReport.Demand}. */
    public record Demand(
            int target, int workspace, Priority priority, int count, Duration waited) {}

    /** Speed of one answer; see {@link SlotReport.Speed}. */
    public record Speed(int target, Duration firstToken, int targetIncarnation) {}
}
