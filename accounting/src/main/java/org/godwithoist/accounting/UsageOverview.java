package org.godwithoist.accounting;

import java.util.List;
import java.util.Map;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Usage of the fleet by workspace.
 *
 * @param settled usage in the store
 * @param unsettled usage that no row includes yet, as known to the reachable daemons
 * @param unreachable daemons that did not respond; their unsettled usage is included as far as a
 *     replica has it
 */
public record UsageOverview(
        Map<WorkspaceId, Usage> settled,
        Map<WorkspaceId, UnsettledUsage> unsettled,
        List<HostId> unreachable) {
    /** Makes unmodifiable copies of the collections. */
    public UsageOverview {
        settled = Map.copyOf(settled);
        unsettled = Map.copyOf(unsettled);
        unreachable = List.copyOf(unreachable);
    }
}
