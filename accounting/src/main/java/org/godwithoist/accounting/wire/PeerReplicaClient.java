package org.godwithoist.accounting.wire;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.accounting.ChainId;
import org.godwithoist.accounting.Registration;
import org.godwithoist.accounting.ReplicaClient;
import org.godwithoist.accounting.UsageAccounts;
import org.godwithoist.accounting.wire.generated.RegisterRequest;
import org.godwithoist.accounting.wire.generated.RegisterResponse;
import org.godwithoist.accounting.wire.generated.UnsettledRequest;
import org.godwithoist.accounting.wire.generated.UnsettledResponse;
import org.godwithoist.core.id.HostId;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.PeerTransport;

/** Client and handlers for the accounting RPCs over the transport between daemons. */
public final class PeerReplicaClient implements ReplicaClient {
    private static final String SERVICE = "godwithoist.accounting.Usage";

    private static final PeerTransport.Method<RegisterRequest, RegisterResponse> REGISTER =
            new PeerTransport.Method<>(
                    SERVICE, "Register", RegisterRequest.parser(), RegisterResponse.parser());

    private static final PeerTransport.Method<UnsettledRequest, UnsettledResponse> UNSETTLED =
            new PeerTransport.Method<>(
                    SERVICE, "Unsettled", UnsettledRequest.parser(), UnsettledResponse.parser());

    private final PeerTransport transport;

    /** Creates the client; {@link #serve} registers the handlers. */
    public PeerReplicaClient(PeerTransport transport) {
        this.transport = transport;
    }

    /** Registers the RPC handlers; must be called before the transport listens. */
    public void serve(Member self, UsageAccounts accounts) {
        transport.serve(
                REGISTER,
                (from, request) -> {
                    var receipt = accounts.register(UsageMessages.decode(from, request));
                    return RegisterResponse.newBuilder()
                            .setAccepted(receipt.accepted())
                            .setApplied(receipt.applied())
                            .build();
                });
        ChainId own = new ChainId(self.host(), self.incarnation());
        transport.serve(
                UNSETTLED, (from, request) -> UsageMessages.encode(own, accounts.knownUsage()));
    }

    @Override
    public CompletableFuture<Registration.Receipt> register(
            HostId replica, Registration registration, Duration timeout) {
        return transport
                .call(replica, REGISTER, UsageMessages.encode(registration), timeout)
                .thenApply(r -> new Registration.Receipt(r.getAccepted(), r.getApplied()));
    }

    @Override
    public CompletableFuture<KnownUsage> unsettled(HostId daemon, Duration timeout) {
        return transport
                .call(daemon, UNSETTLED, UnsettledRequest.getDefaultInstance(), timeout)
                .thenApply(UsageMessages::decode);
    }
}
