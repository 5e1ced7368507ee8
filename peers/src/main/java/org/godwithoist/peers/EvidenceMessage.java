package org.godwithoist.peers;

import java.util.List;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.quarantine.SuspectEvidence;

/**
 * Evidence against suspects together with its sender.
 *
 * @param sender host of the sending daemon
 * @param domain failure domain of the sender
 * @param evidence what the sender knows, at most {@value #MAX_SUSPECTS} of them
 */
public record EvidenceMessage(HostId sender, FailureDomainId domain, List<SuspectEvidence> evidence)
        implements PeerMessage {
    /** Maximum number of suspects; a message with as many always fits into one packet. */
    public static final int MAX_SUSPECTS = 3;

    /** Copies the list. */
    public EvidenceMessage {
        evidence = List.copyOf(evidence);
    }
}
