package org.godwithoist.membership;

import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/**
 * A daemon of the fleet.
 *
 * @param host its host
 * @param failureDomain failure domain of its host
 * @param peer endpoint for messages between daemons
 * @param incarnation number that increases with each start of the daemon; 0 if unknown
 */
public record Member(HostId host, FailureDomainId failureDomain, Endpoint peer, long incarnation) {}
