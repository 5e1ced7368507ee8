package org.godwithoist.admission;

import java.util.Map;
import java.util.stream.Collectors;
import org.godwithoist.core.id.TargetId;

/**
 * Last report that was answered and the response to it; the next report and its response are
 * encoded as differences from them. The name tables grow with each message that is applied.
 *
 * @param report complete report
 * @param stamp timestamp of the owner in the response
 * @param news status of all targets in the response
 * @param reportNames name table of the reports
 * @param answerNames name table of the responses
 */
record DeltaBase(
        SlotReport report,
        long stamp,
        Map<TargetId, SlotReportResponse.TargetNews> news,
        NameTable reportNames,
        NameTable answerNames) {
    /**
     * Returns whether a report comes from the same run of the holder and is meant for the same
     * epoch of the owner.
     */
    boolean precedes(long incarnation, long epoch) {
        return report.incarnation() == incarnation && report.epoch() == epoch;
    }

    Map<TargetId, SlotReport.TargetUse> uses() {
        return report.uses().stream().collect(Collectors.toMap(u -> u.target(), u -> u));
    }
}
