package org.godwithoist.targets;

import org.godwithoist.catalog.ServiceSpec;

/**
 * Permitted excess over the request rate that a service sets for its cold targets.
 *
 * @param factor multiple of the rate
 * @param slack requests per second permitted beyond the multiple
 */
public record ColdLimit(double factor, double slack) {
    /**
     * Returns how many requests this daemon may send to a cold target in any one second; {@link
     * Integer#MAX_VALUE} if the service sets no limit. The bound of the fleet is lowered by one
     * request, because requests that one daemon sends in different seconds can arrive in the same
     * second.
     */
    int share(ServiceSpec service, Target target, FleetShare share) {
        if (service.coldRequestsPerSecond() <= 0) {
            return Integer.MAX_VALUE;
        }
        int bound = (int) (service.coldRequestsPerSecond() * factor + slack) - 1;
        return share.of(Math.max(1, bound), target.id().hashCode());
    }
}
