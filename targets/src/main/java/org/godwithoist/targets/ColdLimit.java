package org.godwithoist.targets;

import org.godwithoist.catalog.ServiceSpec;

/**
 * How far the calls to a cold target may go above the rate that its service tolerates.
 *
 * @param factor multiple of the rate
 * @param slack calls in a second beyond the multiple
 */
public record ColdLimit(double factor, double slack) {
    /**
     * Returns the calls that this daemon may send to a target in any second while it is cold. Calls
     * that one daemon sends in different seconds may arrive in the same one, so one call of the
     * bound is left out.
     */
    int share(ServiceSpec service, Target target, FleetShare share) {
        if (service.coldRequestsPerSecond() <= 0) {
            return Integer.MAX_VALUE;
        }
        int bound = (int) (service.coldRequestsPerSecond() * factor + slack) - 1;
        return share.of(Math.max(1, bound), target.id().hashCode());
    }
}
