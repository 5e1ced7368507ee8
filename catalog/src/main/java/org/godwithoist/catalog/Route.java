package org.godwithoist.catalog;

import java.time.Duration;
import java.util.List;

/**
 * A route: matches requests by host name and path prefix and defines their services and limits.
 *
 * @param id unique name of the route
 * @param host host name of the requests
 * @param prefix path prefix; begins and ends with a slash
 * @param kind whether requests may run more than once
 * @param resumable whether another target may continue an interrupted stream
 * @param timeout time limit of a request, including all attempts
 * @param targetLatency latency objective; the deployment gives responses within it their full score
 * @param gapTarget objective for the time between two events of a stream; zero if the route has no
 *     streams
 * @param priority priority of the requests; 0 is the highest
 * @param services services that process the requests; at least one with a weight above 0
 * @param maxAttempts maximum number of targets that may run one request
 * @param publicAccess whether requests need no API key
 * @param sticky whether requests carry their prompt prefix
 */
public record Route(
        RouteId id,
        String host,
        String prefix,
        RouteKind kind,
        boolean resumable,
        Duration timeout,
        Duration targetLatency,
        Duration gapTarget,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean publicAccess,
        boolean sticky) {
    /**
     * Validates the route.
     *
     * @throws IllegalArgumentException if no service has a weight above 0, the prefix does not
     *     begin and end with a slash, or the timeout or the number of attempts is not positive
     */
    public Route {
        services = List.copyOf(services);
        if (services.stream().mapToInt(WeightedService::weight).sum() <= 0) {
            throw new IllegalArgumentException(
                    "route " + id + " has no service with a weight above 0");
        }
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "prefix of route " + id + " must begin and end with a slash");
        }
        if (maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "maxAttempts of route " + id + " must be at least 1, not " + maxAttempts);
        }
        if (timeout.isNegative() || timeout.isZero()) {
            throw new IllegalArgumentException("timeout of route " + id + " must be above 0");
        }
    }

    /** Returns whether a request that may have run can be sent to a target again. */
    public boolean allowsReexecution() {
        return kind.allowsReexecution(resumable);
    }

    /**
     * Selects the service of a request by weight. Requests with the same hash are assigned to the
     * same service until the weights change, so that the prompt prefix of a chat is cached by one
     * service only.
     *
     * @param hash hash of the routing key of the request, for example its chat
     */
    public ServiceId serviceFor(long hash) {
        if (services.size() == 1) {
            return services.get(0).service();
        }
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        long remaining = Math.floorMod(hash, total);
        for (WeightedService s : services) {
            remaining -= s.weight();
            if (remaining < 0) {
                return s.service();
            }
        }
        throw new IllegalStateException("route " + id + ": no service was selected by weight");
    }
}
