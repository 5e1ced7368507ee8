package org.godwithoist.admission;

import java.util.Map;
import java.util.stream.Collectors;
import org.godwithoist.core.id.TargetId;

/**
 * Last report to which a response arrived, and that response; the next report and its response are
 * encoded as differences from them. The name tables grow with each message that is applied.
 *
 * @param report complete report
 * @param ownerTimestamp timestamp of the owner in the response
 * @param targetStatuses status of all targets in the response
 * @param reportNames name table of the reports
 * @param responseNames name table of the responses
 */
record DeltaBaseline(
        SlotReport report,
        long ownerTimestamp,
        Map<TargetId, SlotReportResponse.TargetStatus> targetStatuses,
        NameTable reportNames,
        NameTable responseNames) {
    /**
     * Returns whether a report comes from the same run of the holder and is meant for the same
     * epoch of the owner.
     */
    boolean matches(long incarnation, long epoch) {
        return report.incarnation() == incarnation && report.epoch() == epoch;
    }

    Map<TargetId, SlotReport.TargetUse> uses() {
        return report.uses().stream().collect(Collectors.toMap(u -> u.target(), u -> u));
    }
}
