package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;

/**
 * Difference between a response and the response to the baseline of its report. Names are replaced
 * by their numbers in the name table of responses.
 *
 * @param status whether the report was accepted
 * @param epoch epoch of the responding daemon, relative to the epoch of the report
 * @param ownerTimestamp timestamp of the owner, relative to its timestamp in the response to the
 *     baseline; nanoseconds
 * @param full whether the response is complete and the name table restarts from 1
 * @param names names that get the next free numbers
 * @param grants slots granted by this response
 * @param targetStatuses targets whose status differs from the baseline
 * @param removed targets that are no longer in the shard
 */
public record ResponseDelta(
        SlotReportResponse.Status status,
        long epoch,
        long ownerTimestamp,
        boolean full,
        List<String> names,
        List<Grant> grants,
        List<TargetStatus> targetStatuses,
        List<Integer> removed) {
    /** Makes the lists immutable. */
    public ResponseDelta {
        names = List.copyOf(names);
        grants = List.copyOf(grants);
        targetStatuses = List.copyOf(targetStatuses);
        removed = List.copyOf(removed);
    }

    /** Granted slots; see {@link SlotReportResponse.Grant}. */
    public record Grant(int target, int workspace, Priority priority, int count) {}

    /** Status of one target; see {@link SlotReportResponse.TargetStatus}. */
    public record TargetStatus(
            int target,
            boolean reservedOpen,
            boolean contended,
            Duration expectedWait,
            int warmUpLimit,
            int targetIncarnation) {}
}
