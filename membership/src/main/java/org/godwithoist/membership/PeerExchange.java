package org.godwithoist.membership;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;

/** Sends one round of the exchange to a peer. */
@FunctionalInterface
public interface PeerExchange {
    /** Returns the peer's answer; fails if there is none in time. */
    CompletableFuture<ExchangeMessage.Response> send(
            HostId peer, ExchangeMessage.Request request, Duration timeout);
}
