package org.godwithoist.peers;

import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.targets.PeerLoads;

/**
 * A load report together with its sender.
 *
 * @param sender host of the sending daemon
 * @param domain failure domain of the sender
 * @param report requests in progress in the sender's view
 */
public record LoadMessage(HostId sender, FailureDomainId domain, PeerLoads.Report report)
        implements PeerMessage {}
