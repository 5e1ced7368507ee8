package org.godwithoist.overload;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.targets.PeerLoads;

/**
 * Demand for one service, as a daemon reports it to others.
 *
 * @param service the service
 * @param incarnation start time of the reporting daemon
 * @param sequence increases with each report of an incarnation
 * @param scope daemons whose demand is included
 * @param daemons number of daemons whose demand is included
 * @param byWorkspace demand of each workspace
 */
public record DemandReport(
        ServiceId service,
        long incarnation,
        long sequence,
        PeerLoads.Scope scope,
        int daemons,
        Map<WorkspaceKey, Demand> byWorkspace) {
    private static final Comparator<Map.Entry<WorkspaceKey, Demand>> LARGEST_FIRST =
            Comparator.comparingDouble(e -> -e.getValue().current());

    /** Copies the map. */
    public DemandReport {
        byWorkspace = Map.copyOf(byWorkspace);
    }

    /**
     * Returns this report with at most the given number of workspaces: those with the largest
     * demand, and the sum of all others.
     */
    public DemandReport largest(int max) {
        if (byWorkspace.size() <= max) {
            return this;
        }
        List<Map.Entry<WorkspaceKey, Demand>> sorted =
                byWorkspace.entrySet().stream().sorted(LARGEST_FIRST).toList();
        Map<WorkspaceKey, Demand> listed = new HashMap<>();
        Demand others = Demand.NONE;
        for (Map.Entry<WorkspaceKey, Demand> e : sorted) {
            if (listed.size() < max - 1 && !e.getKey().equals(WorkspaceKey.OTHERS)) {
                listed.put(e.getKey(), e.getValue());
            } else {
                others = others.plus(e.getValue());
            }
        }
        listed.put(WorkspaceKey.OTHERS, others);
        return new DemandReport(service, incarnation, sequence, scope, daemons, listed);
    }
}
