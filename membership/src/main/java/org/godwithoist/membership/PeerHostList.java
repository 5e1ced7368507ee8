package org.godwithoist.membership;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;

/** Requests the host list from a peer. */
@FunctionalInterface
public interface PeerHostList {
    /**
     * Returns the peer's response. The future fails if there is none within the timeout or if it is
     * malformed.
     */
    CompletableFuture<HostListMessage.Response> pull(
            HostId peer, HostListMessage.Request request, Duration timeout);
}
