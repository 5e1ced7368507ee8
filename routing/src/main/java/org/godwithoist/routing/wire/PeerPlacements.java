package org.godwithoist.routing.wire;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.membership.PeerTransport;
import org.godwithoist.routing.Placement;
import org.godwithoist.routing.PlacementChange;
import org.godwithoist.routing.PlacementDirectory;
import org.godwithoist.routing.Placements;
import org.godwithoist.routing.RendezvousHash;
import org.godwithoist.routing.RunningRequest;
import org.godwithoist.routing.wire.generated.LookupRequest;
import org.godwithoist.routing.wire.generated.LookupResponse;
import org.godwithoist.routing.wire.generated.RunMessage;
import org.godwithoist.routing.wire.generated.UpdateRequest;
import org.godwithoist.routing.wire.generated.UpdateResponse;

/**
 * Placements stored by the directory daemons of the chats. The directory daemon of a chat is the
 * first by rendezvous hash among the members that are not unresponsive.
 */
public final class PeerPlacements implements Placements {
    /** Maximum wait for a lookup; a longer one costs more than the prefill that it may save. */
    public static final Duration LOOKUP_TIMEOUT = Duration.ofMillis(30);

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration UPDATE_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_HOST_HASHES = 4_096;
    private static final String SERVICE = "godwithoist.routing.Placements";

    private static final PeerTransport.Method<LookupRequest, LookupResponse> LOOKUP =
            new PeerTransport.Method<>(
                    SERVICE, "Lookup", LookupRequest.parser(), LookupResponse.parser());
    private static final PeerTransport.Method<UpdateRequest, UpdateResponse> UPDATE =
            new PeerTransport.Method<>(
                    SERVICE, "Update", UpdateRequest.parser(), UpdateResponse.parser());

    private final MemberDirectory members;
    private final PeerTransport transport;
    private final PlacementDirectory local;
    private final Map<HostId, Long> hostHashes = new ConcurrentHashMap<>();

    /**
     * Creates an instance and registers its message handlers; must be called before the daemon
     * listens.
     */
    public PeerPlacements(
            MemberDirectory members, PeerTransport transport, PlacementDirectory local) {
        this.members = members;
        this.transport = transport;
        this.local = local;
        transport.serve(LOOKUP, (_, request) -> handleLookup(request));
        transport.serve(UPDATE, (_, request) -> handleUpdate(request));
    }

    @Override
    public Optional<Placement> lookup(ChatId chat) {
        HostId directoryHost = directoryDaemon(chat);
        if (directoryHost.equals(members.self().host())) {
            return local.lookup(chat);
        }
        if (!members.inContactWith(directoryHost)) {
            return Optional.empty();
        }
        LookupRequest request = LookupRequest.newBuilder().setChat(chat.value()).build();
        try {
            return decodePlacement(
                    Await.result(
                            transport.call(directoryHost, LOOKUP, request, LOOKUP_TIMEOUT),
                            LOOKUP_TIMEOUT));
        } catch (RuntimeException e) {
            LOG.atFine().withCause(e).log(
                    "placement lookup of chat %s at daemon %s failed; routing without a placement",
                    chat, directoryHost);
            return Optional.empty();
        }
    }

    @Override
    public void report(ChatId chat, PlacementChange change) {
        HostId directoryHost = directoryDaemon(chat);
        if (directoryHost.equals(members.self().host())) {
            local.report(chat, change);
            return;
        }
        UpdateRequest.Builder request =
                UpdateRequest.newBuilder()
                        .setChat(chat.value())
                        .setKind(change.kind().name())
                        .setTarget(change.target().value())
                        .setTokens(change.tokens());
        change.run().ifPresent(r -> request.setRun(encodeRun(r)));
        try {
            var _ =
                    transport
                            .call(directoryHost, UPDATE, request.build(), UPDATE_TIMEOUT)
                            .exceptionally(e -> logUpdateFailure(directoryHost, e));
        } catch (RuntimeException e) {
            var _ = logUpdateFailure(directoryHost, e);
        }
    }

    private static UpdateResponse logUpdateFailure(HostId directoryHost, Throwable e) {
        LOG.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                "placement update at daemon %s failed, the chat may miss its cache: %s",
                directoryHost, e);
        return UpdateResponse.getDefaultInstance();
    }

    /** Returns the directory daemon of a chat; may be this daemon. */
    public HostId directoryDaemon(ChatId chat) {
        return preferredHost(chat.value());
    }

    /**
     * Returns whether this daemon reads the cache events of a target. Exactly one daemon reads each
     * target if the member lists agree.
     */
    public boolean readsCacheEvents(TargetId target) {
        return preferredHost(target.value()).equals(members.self().host());
    }

    private HostId preferredHost(String name) {
        long key = RendezvousHash.hash(name);
        HostId best = members.self().host();
        long bestScore = score(key, best);
        for (Member m : members.members()) {
            if (m.host().equals(members.self().host()) || members.isUnresponsive(m.host())) {
                continue;
            }
            long score = score(key, m.host());
            if (score > bestScore) {
                best = m.host();
                bestScore = score;
            }
        }
        return best;
    }

    private long score(long key, HostId host) {
        if (hostHashes.size() > MAX_HOST_HASHES) {
            hostHashes.clear(); // Removes hosts that are no longer members.
        }
        long hash = hostHashes.computeIfAbsent(host, h -> RendezvousHash.hash(h.value()));
        return RendezvousHash.score(key, hash);
    }

    // ---- handlers

    private LookupResponse handleLookup(LookupRequest request) {
        LookupResponse.Builder response = LookupResponse.newBuilder();
        local.lookup(new ChatId(request.getChat()))
                .ifPresent(
                        placement -> {
                            response.setTarget(placement.target().value())
                                    .setCachedTokens(placement.cachedTokens())
                                    .setAgeMs(placement.age().toMillis());
                            placement.run().ifPresent(run -> response.setRun(encodeRun(run)));
                        });
        return response.build();
    }

    private UpdateResponse handleUpdate(UpdateRequest request) {
        var change =
                new PlacementChange(
                        PlacementChange.Kind.valueOf(request.getKind()),
                        new TargetId(request.getTarget()),
                        request.getTokens(),
                        request.hasRun()
                                ? Optional.of(decodeRun(request.getRun()))
                                : Optional.empty());
        local.report(new ChatId(request.getChat()), change);
        return UpdateResponse.getDefaultInstance();
    }

    // ---- encoding

    private static Optional<Placement> decodePlacement(LookupResponse response) {
        if (response.getTarget().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Placement(
                        new TargetId(response.getTarget()),
                        response.getCachedTokens(),
                        Duration.ofMillis(response.getAgeMs()),
                        response.hasRun()
                                ? Optional.of(decodeRun(response.getRun()))
                                : Optional.empty()));
    }

    private static RunMessage encodeRun(RunningRequest run) {
        return RunMessage.newBuilder()
                .setAttempt(run.attempt().value())
                .setBase(run.base())
                .setDaemon(run.daemon().value())
                .build();
    }

    private static RunningRequest decodeRun(RunMessage message) {
        return new RunningRequest(
                new RequestId(message.getAttempt()),
                message.getBase(),
                new HostId(message.getDaemon()));
    }
}
