package org.godwithoist.peers;

import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;

/**
 * That the store has lately responded to the sender itself, so that the sender learns of new
 * versions and tells the receiver.
 *
 * @param sender host of the sending daemon
 * @param domain failure domain of the sender
 */
public record StoreContactMessage(HostId sender, FailureDomainId domain) implements PeerMessage {}
