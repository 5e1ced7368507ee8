package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * An owner's answer to a report.
 *
 * @param shard the shard
 * @param status whether the report was taken
 * @param epoch epoch of the answering daemon, or the highest that it knows
 * @param stamp the owner's clock; comes back in later reports
 * @param grants slots granted by this answer
 * @param news state of the shard's targets
 */
public record SlotReportResponse(
        ShardId shard,
        Status status,
        long epoch,
        long stamp,
        List<Grant> grants,
        List<TargetNews> news) {
    /** Copies the lists. */
    public SlotReportResponse {
        grants = List.copyOf(grants);
        news = List.copyOf(news);
    }

    /** Whether a report was taken. */
    public enum Status {
        /** The owner took the report. */
        ACCEPTED(true),
        /** The owner's lease has expired for now; it took the report but grants nothing. */
        LEASE_EXPIRED(true),
        /** The report was meant for another epoch or is older than one already taken. */
        STALE(false),
        /** The answering daemon does not own the shard. */
        NOT_OWNER(false),
        /** The owner does not have the base of the report; the next report must be complete. */
        UNKNOWN_BASE(false);

        private final boolean accepted;

        Status(boolean accepted) {
            this.accepted = accepted;
        }

        /** Returns whether the report was counted. */
        public boolean accepted() {
            return accepted;
        }
    }

    /**
     * Granted slots.
     *
     * @param target the target
     * @param workspace workspace whose demand is met
     * @param priority priority of the demand as it was reported
     * @param count number of slots
     */
    public record Grant(TargetId target, WorkspaceId workspace, Priority priority, int count) {}

    /**
     * What the owner knows of a target.
     *
     * @param target the target
     * @param reservedOpen whether the asking holder may use its reserved slots until the TTL ends
     * @param contended whether requests wait for the target anywhere
     * @param expectedWait expected wait for a slot
     * @param grown limit reached by warm-up; 0 if cold
     * @param targetIncarnation run of the target; empty if unknown
     */
    public record TargetNews(
            TargetId target,
            boolean reservedOpen,
            boolean contended,
            Duration expectedWait,
            int grown,
            String targetIncarnation) {}

    /** Returns an answer that takes nothing. */
    static SlotReportResponse refusal(ShardId shard, Status status, long epoch) {
        return new SlotReportResponse(shard, status, epoch, 0, List.of(), List.of());
    }
}
