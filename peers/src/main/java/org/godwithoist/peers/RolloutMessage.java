package org.godwithoist.peers;

import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.rollout.fleet.RolloutReport;

/**
 * A report about an order in progress together with its sender.
 *
 * @param sender host of the sending daemon
 * @param domain failure domain of the sender
 * @param report the report
 */
public record RolloutMessage(HostId sender, FailureDomainId domain, RolloutReport report)
        implements PeerMessage {}
