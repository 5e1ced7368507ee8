package org.godwithoist.overload;

import java.util.HashMap;
import java.util.Map;
import org.godwithoist.targets.FleetShare;

/**
 * This daemon's part of a service's limit.
 *
 * @param slots slots that this daemon may use
 * @param byWorkspace this daemon's part of what each workspace is entitled to, in slots
 * @param even whether it is the even share, because the demand of some daemons is unknown
 */
record DaemonPart(double slots, Map<WorkspaceKey, Double> byWorkspace, boolean even) {
    /**
     * Least part, relative to the even share. A daemon whose demand has just begun is not known to
     * the others, and its requests should not wait for the next reports.
     */
    private static final double MIN_EVEN_FRACTION = 0.25;

    /**
     * Computes the part. The limit is split by demand, and evenly if some of the daemons that may
     * be running have not reported their demand.
     *
     * @param limit slots for all daemons together
     * @param floor least share of a workspace relative to an equal cut
     */
    static DaemonPart of(
            double limit,
            Map<WorkspaceKey, Demand> own,
            PeerDemand.View peers,
            FleetShare share,
            double floor) {
        double even = share.of(limit);
        if (peers.daemons() + 1 < share.members()) {
            Map<WorkspaceKey, Double> parts = new HashMap<>();
            FairShares.of(own, even, floor).forEach((key, s) -> parts.put(key, s.entitlement()));
            return new DaemonPart(even, parts, true);
        }
        Map<WorkspaceKey, Demand> fleet = peers.plus(1, own).byWorkspace();
        Map<WorkspaceKey, FairShares.Share> shares = FairShares.of(fleet, limit, floor);
        Map<WorkspaceKey, Double> parts = new HashMap<>();
        double wanted = 0;
        double ownWanted = 0;
        for (Map.Entry<WorkspaceKey, FairShares.Share> e : shares.entrySet()) {
            Demand mine = own.getOrDefault(e.getKey(), Demand.NONE);
            double fraction = fraction(mine.current(), fleet.get(e.getKey()).current());
            wanted += e.getValue().slots();
            ownWanted += fraction * e.getValue().slots();
            if (own.containsKey(e.getKey())) {
                parts.put(e.getKey(), fraction * e.getValue().entitlement());
            }
        }
        double unwanted = Math.max(0, limit - wanted) * fraction(total(own), total(fleet));
        double slots = Math.max(MIN_EVEN_FRACTION * even, ownWanted + unwanted);
        return new DaemonPart(slots, parts, false);
    }

    private static double fraction(double part, double whole) {
        return whole <= 0 ? 0 : part / whole;
    }

    private static double total(Map<WorkspaceKey, Demand> demand) {
        double sum = 0;
        for (Demand d : demand.values()) {
            sum += d.current();
        }
        return sum;
    }
}
