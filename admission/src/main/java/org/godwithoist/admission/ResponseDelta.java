package org.godwithoist.admission;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;

/**
 * The difference between an answer and the answer to the base of its report, with numbers in place
 * of names.
 *
 * @param status whether the report was taken
 * @param epoch epoch of the answering daemon, relative to the epoch of the report
 * @param stamp the owner's clock, relative to the stamp of the answer to the base
 * @param full whether the answer is complete and its names start from 1 again
 * @param names names that get the next free numbers
 * @param grants slots granted by this answer
 * @param news news of each target that differ from the base
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
    /** Copies the lists. */
    public ResponseDelta {
        names = List.copyOf(names);
        grants = List.copyOf(grants);
        news = List.copyOf(news);
        gone = List.copyOf(gone);
    }

    /** Granted slots; see {@link SlotReportResponse.Grant}. */
    public record Grant(int target, int workspace, Priority priority, int count) {}

    /** News of one target; see {@link SlotReportResponse.TargetNews}. */
    public record News(
            int target,
            boolean reservedOpen,
            boolean contended,
            Duration expectedWait,
            int grown,
            int targetIncarnation) {}
}
