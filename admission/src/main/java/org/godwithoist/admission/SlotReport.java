package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Report of a holder to the owner of a shard: slots in use, demand and response times. A report is
 * sent only after the response to the previous one has arrived or is discarded; it therefore
 * accounts for every grant of earlier responses.
 *
 * @param shard the shard
 * @param epoch epoch of the owner that the report is meant for
 * @param incarnation run of the holder
 * @param sequence number of the report within the run
 * @param minIntervalStart owner's timestamp from which {@code minTotalInUse} holds; 0 if unknown
 * @param minIntervalEnd owner's timestamp up to which {@code minTotalInUse} holds; 0 if unknown
 * @param minTotalInUse minimum number of slots in use throughout that interval
 * @param uses use of each target for which it is not zero
 * @param demands waiting requests by target, workspace and priority
 * @param latencySamples response times since the last report
 */
public record SlotReport(
        ShardId shard,
        long epoch,
        long incarnation,
        long sequence,
        long minIntervalStart,
        long minIntervalEnd,
        int minTotalInUse,
        List<TargetUse> uses,
        List<Demand> demands,
        List<LatencySample> latencySamples) {
    /** Makes the lists immutable. */
    public SlotReport {
        uses = List.copyOf(uses);
        demands = List.copyOf(demands);
        latencySamples = List.copyOf(latencySamples);
    }

    /**
     * Use of one target by the holder.
     *
     * @param target the target
     * @param inUse granted slots in use
     * @param unused granted slots that may still be used
     * @param reservedInUse reserved slots in use
     * @param minInUse minimum number of slots in use during the interval of the report, granted and
     *     reserved ones together
     * @param reservedHeld reserved slots of the holder by the bundle and its member list
     * @param warmUpLimit warm-up limit received from the last owner; 0 if unknown or unchanged
     * @param targetIncarnation run of the target for which {@code warmUpLimit} holds
     */
    public record TargetUse(
            TargetId target,
            int inUse,
            int unused,
            int reservedInUse,
            int minInUse,
            int reservedHeld,
            int warmUpLimit,
            String targetIncarnation) {}

    /**
     * Waiting requests of one workspace and priority for one target.
     *
     * @param target requested target
     * @param workspace workspace of the requests
     * @param priority priority of the requests
     * @param count number of requests
     * @param oldestWait time for which the oldest has waited
     */
    public record Demand(
            TargetId target,
            WorkspaceId workspace,
            Priority priority,
            int count,
            Duration oldestWait) {}

    /**
     * Response time of one request.
     *
     * @param target target that responded
     * @param timeToFirstToken time to the first token
     * @param targetIncarnation run of the target that was known when the slot was handed out;
     *     responses of an earlier run must not warm up the next one
     */
    public record LatencySample(
            TargetId target, Duration timeToFirstToken, String targetIncarnation) {}
}
