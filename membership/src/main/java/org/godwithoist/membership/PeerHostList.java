package org.godwithoist.membership;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;

/** Asks a peer for its copy of the host list. */
@FunctionalInterface
public interface PeerHostList {
    /** Returns the peer's answer; fails if there is none in time or it is malformed. */
    CompletableFuture<HostListMessage.Response> pull(
            HostId peer, HostListMessage.Request request, Duration timeout);
}
