package org.godwithoist.admission;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.membership.Target;

/**
 * Input of an owner's ledger: limits, targets, members and load reports.
 *
 * @param limits limits of the pool
 * @param applySkewBound whether the skew bound applies; it applies to engines only
 * @param targets targets of the shard in any service state
 * @param members daemons of the fleet
 * @param unresponsive whether a daemon is unknown or without contact for the unresponsive timeout
 * @param workspaceShares share of a workspace
 * @param loads load reports of the targets
 */
public record ShardView(
        AdmissionLimits limits,
        boolean applySkewBound,
        List<Target> targets,
        Set<HostId> members,
        Predicate<HostId> unresponsive,
        ToIntFunction<WorkspaceId> workspaceShares,
        TargetLoadReports loads) {
    /** Makes the collections immutable. */
    public ShardView {
        targets = List.copyOf(targets);
        members = Set.copyOf(members);
    }
}
