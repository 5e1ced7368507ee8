package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Response of an owner to a slot report.
 *
 * @param shard the shard
 * @param status whether the report was accepted
 * @param epoch epoch of the responding daemon, or the highest that it has seen
 * @param ownerTimestamp timestamp of the owner in nanoseconds of its ticker; returned to it in
 *     later reports
 * @param grants slots granted by this response
 * @param targetStatuses status of the shard's targets
 */
public record SlotReportResponse(
        ShardId shard,
        Status status,
        long epoch,
        long ownerTimestamp,
        List<Grant> grants,
        List<TargetStatus> targetStatuses) {
    /** Makes the lists immutable. */
    public SlotReportResponse {
        grants = List.copyOf(grants);
        targetStatuses = List.copyOf(targetStatuses);
    }

    /** Result of processing a report. */
    public enum Status {
        /** The owner applied the report. */
        ACCEPTED(true),
        /** The owner applied the report but grants nothing, because its lease has expired. */
        LEASE_EXPIRED(true),
        /** The report is meant for another epoch, or older than one already applied. */
        STALE(false),
        /** The responding daemon does not own the shard. */
        NOT_OWNER(false),
        /** The owner does not have the baseline of the report; the next report must be complete. */
        UNKNOWN_BASELINE(false);

        private final boolean accepted;

        Status(boolean accepted) {
            this.accepted = accepted;
        }

        /** Returns whether the owner applied the report. */
        public boolean accepted() {
            return accepted;
        }
    }

    /**
     * Granted slots.
     *
     * @param target the target
     * @param workspace workspace whose demand is met
     * @param priority priority of the demand as reported
     * @param count number of slots
     */
    public record Grant(TargetId target, WorkspaceId workspace, Priority priority, int count) {}

    /**
     * Status of a target as computed by the owner.
     *
     * @param target the target
     * @param reservedOpen whether the reporting holder may use its reserved slots until the TTL
     *     ends
     * @param contended whether requests of any holder wait for the target
     * @param expectedWait expected wait for a slot; zero if one is free
     * @param warmUpLimit limit reached by warm-up; 0 if cold
     * @param targetIncarnation run of the target; empty if unknown
     */
    public record TargetStatus(
            TargetId target,
            boolean reservedOpen,
            boolean contended,
            Duration expectedWait,
            int warmUpLimit,
            String targetIncarnation) {}

    /** Returns the response to a report that is not applied. */
    static SlotReportResponse rejection(ShardId shard, Status status, long epoch) {
        return new SlotReportResponse(shard, status, epoch, 0, List.of(), List.of());
    }
}
