package org.godwithoist.catalog;

import java.time.Duration;
import java.util.Optional;

/**
 * A service and the limits of its targets.
 *
 * @param id name of the service
 * @param connectionLimit maximum connections to a target from all daemons together
 * @param coldStart time for which a target is cold after its start
 * @param coldRequestsPerSecond maximum requests per second to a cold target from all daemons
 *     together; 0 if unlimited
 * @param healthPath path at which its targets answer whether they are healthy
 * @param engine capacity of the engines; empty for plain services
 */
public record ServiceSpec(
        ServiceId id,
        int connectionLimit,
        Duration coldStart,
        double coldRequestsPerSecond,
        String healthPath,
        Optional<EngineSpec> engine) {}
