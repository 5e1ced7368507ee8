package org.godwithoist.peers;

import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/** A message between daemons. */
public sealed interface PeerMessage
        permits LoadMessage,
                EvidenceMessage,
                WorkMessage,
                DemandMessage,
                RolloutMessage,
                VersionMessage,
                StoreContactMessage {
    /** Returns the host of the sending daemon. */
    HostId sender();

    /** Returns the failure domain of the sender. */
    FailureDomainId domain();
}
