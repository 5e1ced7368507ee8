package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;

/**
 * Difference between a slot report and its baseline. Names are replaced by their numbers in the
 * name table of this direction. Without a baseline it is the complete report.
 *
 * @param shard the shard
 * @param epoch epoch of the owner that the report is meant for
 * @param incarnation run of the holder
 * @param sequence number of the report within the run
 * @param base sequence of the baseline; 0 for a complete report
 * @param certainFrom start of the interval of {@code minUse}, relative to the end of the baseline's
 *     interval; nanoseconds
 * @param certainTo end of the interval of {@code minUse}, relative to the owner's timestamp in the
 *     response to the baseline; nanoseconds
 * @param minUse minimum number of slots in use, relative to the baseline
 * @param names names that get the next free numbers
 * @param uses targets whose use differs from the baseline
 * @param ended targets with a use in the baseline and none in this report
 * @param demands all waiting requests
 * @param speeds response times since the last report
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
    /** Makes the lists immutable. */
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

    /** Response time of one request; see {@link SlotReport.Speed}. */
    public record Speed(int target, Duration firstToken, int targetIncarnation) {}
}
