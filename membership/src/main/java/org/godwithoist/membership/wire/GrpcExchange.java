package org.godwithoist.membership.wire;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;
import org.godwithoist.membership.ExchangeMessage;
import org.godwithoist.membership.ExchangeRounds;
import org.godwithoist.membership.PeerExchange;
import org.godwithoist.membership.PeerTransport;
import org.godwithoist.membership.wire.generated.ExchangeRequest;
import org.godwithoist.membership.wire.generated.ExchangeResponse;

/** Exchange between daemons over the peer transport. */
public final class GrpcExchange implements PeerExchange {
    static final PeerTransport.Method<ExchangeRequest, ExchangeResponse> EXCHANGE =
            new PeerTransport.Method<>(
                    "godwithoist.membership.Membership",
                    "Exchange",
                    ExchangeRequest.parser(),
                    ExchangeResponse.parser());

    private final PeerTransport transport;

    private GrpcExchange(PeerTransport transport) {
        this.transport = transport;
    }

    /** Registers the handler of the rounds of peers and returns the client side. */
    public static GrpcExchange bind(PeerTransport transport, ExchangeRounds rounds) {
        transport.serve(
                EXCHANGE,
                (from, request) ->
                        ExchangeCodec.encode(rounds.respond(from, ExchangeCodec.decode(request))));
        return new GrpcExchange(transport);
    }

    @Override
    public CompletableFuture<ExchangeMessage.Response> send(
            HostId peer, ExchangeMessage.Request request, Duration timeout) {
        return transport
                .call(peer, EXCHANGE, ExchangeCodec.encode(request), timeout)
                .thenApply(ExchangeCodec::decode);
    }
}
