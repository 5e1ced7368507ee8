package org.godwithoist.membership;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;

/** Sends the request of one exchange round to a peer. */
@FunctionalInterface
public interface PeerExchange {
    /** Returns the peer's response. The future fails if there is none within the timeout. */
    CompletableFuture<ExchangeMessage.Response> send(
            HostId peer, ExchangeMessage.Request request, Duration timeout);
}
