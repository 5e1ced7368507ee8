package org.godwithoist.peers;

import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/**
 * A daemon of the fleet.
 *
 * @param host the host it runs on; identifies the daemon
 * @param domain failure domain of the host
 * @param address address at which it receives messages
 */
public record Member(HostId host, FailureDomainId domain, Endpoint address) {}
