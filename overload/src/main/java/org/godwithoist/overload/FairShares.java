package org.godwithoist.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Weighted max-min fair shares of a capacity. A workspace gets no more than its demand; what it
 * leaves goes to the others in proportion to their weights. The weight of a workspace is its usual
 * demand, so that one that demands a multiple of its usual load displaces nobody, and a large one
 * keeps what it usually uses. Daemons that know the same demand compute the same shares.
 */
final class FairShares {
    /**
     * Share of one workspace.
     *
     * @param slots slots that it gets, at most its demand
     * @param entitlement slots that it would get if it demanded more; exceeds its demand unless it
     *     is cut, so that an error of the measured demand cuts nobody
     */
    record Share(double slots, double entitlement) {}

    /** Halvings of the search interval; the error is below a millionth of a slot. */
    private static final int ITERATIONS = 60;

    /**
     * Least weight as a fraction of the mean, so that a workspace without a history is served too.
     */
    private static final double MIN_WEIGHT = 0.5;

    private final Map<WorkspaceKey, Demand> demand;
    private final double capacity;
    private final double floor;
    private final double total;
    private final double minWeight;

    private FairShares(Map<WorkspaceKey, Demand> demand, double capacity, double floor) {
        this.demand = demand;
        this.capacity = capacity;
        this.floor = floor;
        double sum = 0;
        double usual = 0;
        for (Demand d : demand.values()) {
            sum += d.current();
            usual += d.usual();
        }
        total = sum;
        minWeight = Math.max(1e-9, MIN_WEIGHT * usual / Math.max(1, demand.size()));
    }

    /**
     * Returns the share of each workspace. The sum of their slots is the capacity, or the demand if
     * that is lower.
     *
     * @param floor least share, relative to a cut of all demand in the same proportion
     */
    static Map<WorkspaceKey, Share> of(
            Map<WorkspaceKey, Demand> demand, double capacity, double floor) {
        return new FairShares(demand, capacity, floor).compute();
    }

    private Map<WorkspaceKey, Share> compute() {
        double level = total <= capacity ? Double.POSITIVE_INFINITY : findLevel();
        Map<WorkspaceKey, Share> shares = new HashMap<>();
        demand.forEach(
                (key, d) -> {
                    double entitlement = Math.min(capacity, entitlement(d, level));
                    shares.put(key, new Share(share(d, level), entitlement));
                });
        return shares;
    }

    private double findLevel() {
        double high = 1;
        while (sum(high) < capacity) {
            high *= 2;
        }
        double low = 0;
        for (int i = 0; i < ITERATIONS; i++) {
            double middle = (low + high) / 2;
            if (sum(middle) < capacity) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    private double sum(double level) {
        double sum = 0;
        for (Demand d : demand.values()) {
            sum += share(d, level);
        }
        return sum;
    }

    private double share(Demand d, double level) {
        return Math.min(d.current(), entitlement(d, level));
    }

    private double entitlement(Demand d, double level) {
        double least = total == 0 ? 0 : floor * d.current() * Math.min(1, capacity / total);
        return Math.max(least, level * Math.max(d.usual(), minWeight));
    }
}
