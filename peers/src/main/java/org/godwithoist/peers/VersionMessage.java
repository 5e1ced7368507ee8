package org.godwithoist.peers;

import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.streams.VersionSighting;

/**
 * A software version of a service together with the sender.
 *
 * @param sender host of the sending daemon
 * @param domain failure domain of the sender
 * @param sighting version that has or had targets
 */
public record VersionMessage(HostId sender, FailureDomainId domain, VersionSighting sighting)
        implements PeerMessage {}
