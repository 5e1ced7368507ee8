package org.godwithoist.membership;

import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;

/**
 * An engine or a plain service.
 *
 * @param id id of the target
 * @param host host on which it runs
 * @param pool pool to which it belongs
 * @param failureDomain failure domain of its host
 * @param endpoint address for requests
 * @param serviceState whether it may get new work
 */
public record Target(
        TargetId id,
        HostId host,
        PoolId pool,
        FailureDomainId failureDomain,
        Endpoint endpoint,
        ServiceState serviceState) {}
