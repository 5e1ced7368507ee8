package org.godwithoist.peers;

import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.overload.DemandReport;

/**
 * Demand for one service together with its sender.
 *
 * @param sender host of the sending daemon
 * @param domain failure domain of the sender
 * @param report demand in the sender's view
 */
public record DemandMessage(HostId sender, FailureDomainId domain, DemandReport report)
        implements PeerMessage {
    /**
     * Maximum number of workspaces; a message with as many always fits into one packet. If there
     * are more, the largest are listed, and the others together.
     */
    public static final int MAX_WORKSPACES = 48;
}
