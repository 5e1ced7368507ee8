package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;

/**
 * Difference between a response and the response to the baseline of its report. Names are replaced
 * by their numbers in the name table of this direction.
 *
 * @param status whether the report was accepted
 * @param epoch epoch of the responding daemon, relative to the epoch of the report
 * @param stamp timestamp of the owner, relative to its timestamp in the response to the baseline;
 *     nanoseconds
 * @param full whether the response is complete and the name table restarts from 1
 * @param names names that get the next free numbers
 * @param grants slots granted by this response
 * @param news targets whose status differs from the baseline
 * @param gone targets that are no longer in the shard
 */
public record ResponseDelta(
        SlotReportResponse.Status status,
        long epoch,
        long stamp,
        boolean full,
        List<String> names,
        List<Grant> grants,
        List<News> news,
        List<Integer> gone) {
    /** Makes the lists immutable. */
    public ResponseDelta {
        names = List.copyOf(names);
        grants = List.copyOf(grants);
        news = List.copyOf(news);
        gone = List.copyOf(gone);
    }

    /** Granted slots; see {@link SlotReportResponse.Grant}. */
    public record Grant(int target, int workspace, Priority priority, int count) {}

    /** Status of one target; see {@link SlotReportResponse.TargetNews}. */
    public record News(
            int target,
            boolean reservedOpen,
            boolean contended,
            Duration expectedWait,
            int grown,
            int targetIncarnation) {}
}
