package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * What a holder tells the owner of a shard: its use, its demand and the speed of answers. Reports
 * of one holder follow each other; a report is sent only when the answer to the one before has
 * arrived or is void. It therefore settles every grant of earlier answers.
 *
 * @param shard the shard
 * @param epoch epoch of the owner that the report is meant for
 * @param incarnation run of the holder
 * @param sequence number of the report within the run
 * @param certainFrom stamp of the answer from which on {@code minUse} holds; 0 if unknown
 * @param certainTo stamp of the answer up to which {@code minUse} holds; 0 if unknown
 * @param minUse smallest number of slots in use throughout that interval
 * @param uses use of each target that is not zero
 * @param demands waiting requests by target, workspace and priority
 * @param speeds times to the first token since the last report
 */
public record SlotReport(
        ShardId shard,
        long epoch,
        long incarnation,
        long sequence,
        long certainFrom,
        long certainTo,
        int minUse,
        List<TargetUse> uses,
        List<Demand> demands,
        List<Speed> speeds) {
    /** Copies the lists. */
    public SlotReport {
        uses = List.copyOf(uses);
        demands = List.copyOf(demands);
        speeds = List.copyOf(speeds);
    }

    /**
     * A holder's use of one target.
     *
     * @param target the target
     * @param inUse granted slots in use
     * @param unused granted slots that may still be used
     * @param reservedInUse reserved slots in use
     * @param minInUse smallest number of slots of both kinds in use during the certain interval
     * @param reservedHeld reserved slots of this holder by the bundle and its member list
     * @param grown warm-up limit that the last owner named; 0 if unknown or unchanged
     * @param targetIncarnation run of the target for which {@code grown} holds
     */
    public record TargetUse(
            TargetId target,
            int inUse,
            int unused,
            int reservedInUse,
            int minInUse,
            int reservedHeld,
            int grown,
            String targetIncarnation) {}

    /**
     * Waiting requests.
     *
     * @param target wanted target
     * @param workspace workspace of the requests
     * @param priority priority of the requests
     * @param count number of requests
     * @param waited time for which the oldest has waited
     */
    public record Demand(
            TargetId target,
            WorkspaceId workspace,
            Priority priority,
            int count,
            Duration waited) {}

    /**
     * Speed of one answer.
     *
     * @param target target that answered
     * @param firstToken time to the first token
     * @param targetIncarnation run of the target that was known when the slot was handed out; the
     *     answers of an earlier run must not warm up the next one
     */
    public record Speed(TargetId target, Duration firstToken, String targetIncarnation) {}
}
