package org.godwithoist.accounting;

import java.util.List;
import java.util.Map;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Usage of the fleet.
 *
 * @param settled usage in the store
 * @param unsettled use that no row contains yet, as far as the reachable daemons know
 * @param unreachable daemons that did not answer; the copies at their replicas are included
 */
public record UsageOverview(
        Map<WorkspaceId, Usage> settled,
        Map<WorkspaceId, UnsettledUse> unsettled,
        List<HostId> unreachable) {
    /** Copies the collections. */
    public UsageOverview {
        settled = Map.copyOf(settled);
        unsettled = Map.copyOf(unsettled);
        unreachable = List.copyOf(unreachable);
    }
}
