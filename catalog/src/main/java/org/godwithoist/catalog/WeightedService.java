package org.godwithoist.catalog;

/**
 * A service and its share of the requests of a route.
 *
 * @param weight share relative to the other services of the route; a service with weight 0 gets no
 *     requests
 */
public record WeightedService(ServiceId service, int weight) {
    /**
     * Validates the weight.
     *
     * @throws IllegalArgumentException if the weight is negative
     */
    public WeightedService {
        if (weight < 0) {
            throw new IllegalArgumentException("weight must be at least 0, not " + weight);
        }
    }
}
