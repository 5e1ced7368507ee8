package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;

/**
 * Difference between a slot report and its baseline, an earlier report of the same holder. Names
 * are replaced by their numbers in the name table of reports. Without a baseline it is the complete
 * report.
 *
 * @param shard the shard
 * @param epoch epoch of the owner that the report is meant for
 * @param incarnation run of the holder
 * @param sequence number of the report within the run
 * @param baselineSequence sequence of the baseline; 0 for a complete report
 * @param minIntervalStart start of the interval of {@code minTotalInUse}, relative to the end of
 *     the baseline's interval; nanoseconds
 * @param minIntervalEnd end of the interval of {@code minTotalInUse}, relative to the owner's
 *     timestamp in the response to the baseline; nanoseconds
 * @param minTotalInUse minimum number of slots in use, relative to the baseline
 * @param names names that get the next free numbers
 * @param uses targets whose use differs from the baseline
 * @param ended targets with a use in the baseline and none in this report
 * @param demands all waiting requests
 * @param latencySamples response times since the last report
 */
public record ReportDelta(
        ShardId shard,
        long epoch,
        long incarnation,
        long sequence,
        long baselineSequence,
        long minIntervalStart,
        long minIntervalEnd,
        int minTotalInUse,
        List<String> names,
        List<Use> uses,
        List<Integer> ended,
        List<Demand> demands,
        List<LatencySample> latencySamples) {
    /** Makes the lists immutable. */
    public ReportDelta {
        names = List.copyOf(names);
        uses = List.copyOf(uses);
        ended = List.copyOf(ended);
        demands = List.copyOf(demands);
        latencySamples = List.copyOf(latencySamples);
    }

    /** Use of one target; see {@link SlotReport.TargetUse}. */
    public record Use(
            int target,
            int inUse,
            int unused,
            int reservedInUse,
            int minInUse,
            int reservedHeld,
            int warmUpLimit,
            int targetIncarnation) {}

    /** Waiting requests; see {@link SlotReport.Demand}. */
    public record Demand(
            int target, int workspace, Priority priority, int count, Duration oldestWait) {}

    /** Response time of one request; see {@link SlotReport.LatencySample}. */
    public record LatencySample(int target, Duration timeToFirstToken, int targetIncarnation) {}
}
