package org.godwithoist.membership.wire;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;
import org.godwithoist.membership.HostListMessage;
import org.godwithoist.membership.HostListState;
import org.godwithoist.membership.PeerHostList;
import org.godwithoist.membership.PeerTransport;
import org.godwithoist.membership.wire.generated.HostListRequest;
import org.godwithoist.membership.wire.generated.HostListResponse;

/** Pull of the host list between daemons over the peer transport. */
public final class GrpcHostList implements PeerHostList {
    static final PeerTransport.Method<HostListRequest, HostListResponse> PULL =
            new PeerTransport.Method<>(
                    "godwithoist.membership.HostList",
                    "Pull",
                    HostListRequest.parser(),
                    HostListResponse.parser());

    private final PeerTransport transport;

    private GrpcHostList(PeerTransport transport) {
        this.transport = transport;
    }

    /** Registers the handler of the pulls of peers and returns the client side. */
    public static GrpcHostList bind(PeerTransport transport, HostListState state) {
        transport.serve(
                PULL,
                (from, request) ->
                        HostListCodec.encode(state.respond(HostListCodec.decode(request))));
        return new GrpcHostList(transport);
    }

    @Override
    public CompletableFuture<HostListMessage.Response> pull(
            HostId peer, HostListMessage.Request request, Duration timeout) {
        return transport
                .call(peer, PULL, HostListCodec.encode(request), timeout)
                .thenApply(HostListCodec::decode);
    }
}
