package org.godwithoist.peers;

import java.util.List;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.quarantine.PartEvidence;

/**
 * Evidence against prompt parts together with its sender.
 *
 * @param sender host of the sending daemon
 * @param domain failure domain of the sender
 * @param evidence what the sender knows, at most {@value #MAX_PARTS} parts
 */
public record EvidenceMessage(HostId sender, FailureDomainId domain, List<PartEvidence> evidence)
        implements PeerMessage {
    /** Maximum number of parts; a message with as many always fits into one packet. */
    public static final int MAX_PARTS = 3;

    /** Copies the list. */
    public EvidenceMessage {
        evidence = List.copyOf(evidence);
    }
}
