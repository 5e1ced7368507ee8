package org.godwithoist.settings;

import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/**
 * A daemon from which a starting daemon requests the members and the bundle while the platform's
 * host list is unavailable.
 *
 * @param peer endpoint of the seed for other daemons
 */
public record Seed(HostId host, FailureDomainId failureDomain, Endpoint peer) {}
