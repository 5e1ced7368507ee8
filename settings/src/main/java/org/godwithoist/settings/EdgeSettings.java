package org.godwithoist.settings;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/**
 * Settings of an edge daemon.
 *
 * @param host id of this host
 * @param failureDomain failure domain of this host
 * @param frontend listen address for callers
 * @param readiness listen address for readiness checks
 * @param peers listen address for messages of other daemons
 * @param store address of the store
 * @param placementByWork whether requests are placed by expected time, where targets report how
 *     long work takes, in place of request counts
 */
public record EdgeSettings(
        HostId host,
        FailureDomainId failureDomain,
        Endpoint frontend,
        Endpoint readiness,
        Endpoint peers,
        Endpoint store,
        Bounds bounds,
        boolean placementByWork) {
    /**
     * Limits set by the deployment.
     *
     * @param gracePeriod time from the stop signal to the exit of the process
     * @param maxPropagationDelay time within which a change in the store must be applied
     * @param retryRatio permitted retries per request, over all daemons
     * @param retryWindow time over which retries are counted
     * @param retryExtra permitted retries per window beyond the ratio, over all daemons
     * @param coldBurstFactor multiple of a cold target's rate limit that all daemons together may
     *     send
     * @param coldSlack permitted requests per second beyond the multiple
     * @param assumedDaemons number of daemons assumed until the list of daemons is received
     * @param rollout bounds on versions that are rolled out; empty if the deployment rolls none out
     */
    public record Bounds(
            Duration gracePeriod,
            Duration maxPropagationDelay,
            double retryRatio,
            Duration retryWindow,
            double retryExtra,
            double coldBurstFactor,
            double coldSlack,
            int assumedDaemons,
            Optional<RolloutBounds> rollout) {}
}
