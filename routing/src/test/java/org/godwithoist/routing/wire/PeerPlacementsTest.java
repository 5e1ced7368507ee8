package org.godwithoist.routing.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.MessageLite;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.membership.PeerTransport;
import org.godwithoist.routing.Placement;
import org.godwithoist.routing.PlacementChange;
import org.godwithoist.routing.PlacementDirectory;
import org.godwithoist.routing.RunningRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests lookups and reports between three daemons in one process. */
final class PeerPlacementsTest {
    private final Map<HostId, Peer> peers = new HashMap<>();
    private final Set<HostId> notResponding = ConcurrentHashMap.newKeySet();
    private final Set<HostId> unresponsive = ConcurrentHashMap.newKeySet();
    private final ChatId chat = new ChatId("workspace/chat");

    PeerPlacementsTest() {
        for (String name : List.of("daemon-1", "daemon-2", "daemon-3")) {
            peers.put(new HostId(name), new Peer(new HostId(name)));
        }
    }

    private Peer directoryPeer() {
        return peers.get(peers.values().iterator().next().placements.directoryDaemon(chat));
    }

    private List<Peer> others() {
        Peer directoryPeer = directoryPeer();
        return peers.values().stream().filter(p -> p != directoryPeer).toList();
    }

    private static PlacementChange started() {
        var run = new RunningRequest(new RequestId("r.1"), 3, new HostId("daemon-1"));
        return new PlacementChange(
                PlacementChange.Kind.STARTED, new TargetId("engine"), 0, Optional.of(run));
    }

    /** Guards against a placement that only some daemons can look up. */
    @Nested
    final class AllInContact {
        @Test
        void everyDaemonFindsWhatAnyDaemonReported() {
            others().getFirst().placements.report(chat, started());
            for (Peer p : peers.values()) {
                Placement found = p.placements.lookup(chat).orElseThrow();
                assertEquals(new TargetId("engine"), found.target());
                assertEquals(started().run(), found.run());
            }
            assertEquals(1, directoryPeer().directory.size());
        }
    }

    /** Guards against a failed directory daemon that delays lookups or prevents updates. */
    @Nested
    final class DirectoryDaemonFails {
        @Test
        void lateResponseCostsNoMoreThanTheTimeout() {
            notResponding.add(directoryPeer().host);
            long start = System.nanoTime();
            assertTrue(others().getFirst().placements.lookup(chat).isEmpty());
            long ms = (System.nanoTime() - start) / 1_000_000;
            assertTrue(ms < 200, "the lookup took " + ms + " ms");
        }

        @Test
        void anotherDaemonReplacesAnUnresponsiveOne() {
            HostId before = directoryPeer().host;
            Peer other = others().getFirst();
            unresponsive.add(before);
            other.placements.report(chat, started());
            assertTrue(!other.placements.directoryDaemon(chat).equals(before));
            assertTrue(other.placements.lookup(chat).isPresent());
        }
    }

    /** Daemon whose transport calls the others directly. */
    private final class Peer implements MemberDirectory, PeerTransport {
        private final HostId host;
        private final PlacementDirectory directory =
                new PlacementDirectory(10, new VirtualTicker());
        private final Map<String, Handler<MessageLite, MessageLite>> handlers = new HashMap<>();
        private final PeerPlacements placements;

        Peer(HostId host) {
            this.host = host;
            placements = new PeerPlacements(this, this, directory);
        }

        @Override
        public Member self() {
            return new Member(host, new FailureDomainId("d"), Endpoint.parse("127.0.0.1:1"), 1);
        }

        @Override
        public List<Member> members() {
            return peers.values().stream().map(Peer::self).toList();
        }

        @Override
        public Optional<Member> find(HostId id) {
            return Optional.ofNullable(peers.get(id)).map(Peer::self);
        }

        @Override
        public boolean inContactWithAll() {
            return unresponsive.isEmpty();
        }

        @Override
        public boolean inContactWith(HostId id) {
            return !unresponsive.contains(id);
        }

        @Override
        public boolean isUnresponsive(HostId id) {
            return unresponsive.contains(id);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <Q extends MessageLite, R extends MessageLite> void serve(
                Method<Q, R> method, Handler<Q, R> handler) {
            handlers.put(method.name(), (from, q) -> handler.handle(from, (Q) q));
        }

        @Override
        @SuppressWarnings("unchecked")
        public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
                HostId peer, Method<Q, R> method, Q request, Duration timeout) {
            if (notResponding.contains(peer)) {
                return new CompletableFuture<>();
            }
            MessageLite response =
                    peers.get(peer).handlers.get(method.name()).handle(host, request);
            return CompletableFuture.completedFuture((R) response);
        }
    }
}
