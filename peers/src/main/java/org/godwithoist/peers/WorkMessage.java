package org.godwithoist.peers;

import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.targets.WorkReport;

/**
 * Outstanding work and work times of targets together with the sender.
 *
 * @param sender host of the sending daemon
 * @param domain failure domain of the sender
 * @param report work in the sender's view
 */
public record WorkMessage(HostId sender, FailureDomainId domain, WorkReport report)
        implements PeerMessage {}
