package org.godwithoist.settings;

import java.time.Duration;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/**
 * Settings of an edge daemon.
 *
 * @param host id of this host
 * @param domain failure domain of this host
 * @param front listen address for callers
 * @param ready listen address of the readiness check
 * @param peers listen address for messages of other daemons
 * @param store address of the store
 */
public record EdgeSettings(
        HostId host,
        FailureDomainId domain,
        Endpoint front,
        Endpoint ready,
        Endpoint peers,
        Endpoint store,
        Bounds bounds) {
    /**
     * Limits set by the deployment.
     *
     * @param grace time from the stop signal to the exit of the process
     * @param news time within which a change in the store must be applied
     * @param retryRatio permitted retries per request, over all daemons
     * @param retryWindow window of the retry budget
     * @param retryExtra permitted retries per window in addition to the ratio, over all daemons
     * @param coldFactor multiple of a cold target's rate limit that all daemons together may send
     * @param coldSlack permitted requests per second in addition to the multiple
     * @param fleet number of daemons assumed until the list of daemons is received
     */
    public record Bounds(
            Duration grace,
            Duration news,
            double retryRatio,
            Duration retryWindow,
            double retryExtra,
            double coldFactor,
            double coldSlack,
            int fleet) {}
}
