package org.godwithoist.peers;

import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.HostId;
import org.godwithoist.targets.PeerLoads;

/**
 * A daemon that receives reports of this one.
 *
 * @param scope daemons that the reports are about
 */
record Receiver(HostId host, Endpoint address, PeerLoads.Scope scope) {}
