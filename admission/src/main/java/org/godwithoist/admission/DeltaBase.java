package org.godwithoist.admission;

import java.util.Map;
import java.util.stream.Collectors;
import org.godwithoist.core.id.TargetId;

/**
 * A report and the answer to it, on which the next report and its answer build. The tables grow
 * with each message that is applied.
 *
 * @param report the report, complete
 * @param stamp stamp of the answer
 * @param news news of all targets in the answer
 * @param reportNames numbers of the names in reports
 * @param answerNames numbers of the names in answers
 */
record DeltaBase(
        SlotReport report,
        long stamp,
        Map<TargetId, SlotReportResponse.TargetNews> news,
        NameTable reportNames,
        NameTable answerNames) {
    /** Returns whether a report belongs to the same run of the holder and the same owner. */
    boolean precedes(long incarnation, long epoch) {
        return report.incarnation() == incarnation && report.epoch() == epoch;
    }

    Map<TargetId, SlotReport.TargetUse> uses() {
        return report.uses().stream().collect(Collectors.toMap(u -> u.target(), u -> u));
    }
}
