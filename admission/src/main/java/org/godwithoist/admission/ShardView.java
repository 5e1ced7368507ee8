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
 * What an owner knows of the world around its ledger.
 *
 * @param limits limits of the pool
 * @param skewBound whether the skew bound applies; it does to engines only
 * @param targets targets of the shard in any state
 * @param members daemons of the fleet
 * @param silent whether a daemon has been silent for the removal time or is unknown
 * @param shares share of a workspace
 * @param loads load reports of the targets
 */
public record ShardView(
        AdmissionLimits limits,
        boolean skewBound,
        List<Target> targets,
        Set<HostId> members,
        Predicate<HostId> silent,
        ToIntFunction<WorkspaceId> shares,
        TargetLoadReports loads) {
    /** Copies the collections. */
    public ShardView {
        targets = List.copyOf(targets);
        members = Set.copyOf(members);
    }
}
