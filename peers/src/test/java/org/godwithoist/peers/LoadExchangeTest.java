package org.godwithoist.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.ColdLimit;
import org.godwithoist.targets.FleetShare;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.PlacementRequest;
import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link LoadExchange} without a network. */
final class LoadExchangeTest {
    private static final TargetId TARGET = new TargetId("i-1");
    private static final FailureDomainId NORTH = new FailureDomainId("north");
    private static final FailureDomainId SOUTH = new FailureDomainId("south");
    private static final PrefixKey PARTS = PrefixKey.of("parts");
    private static final ServiceSpec SERVICE =
            new ServiceSpec(new ServiceId("s"), 100, Duration.ZERO, 0, Optional.empty());
    private static final TargetEntry ENTRY =
            new TargetEntry(
                    TARGET,
                    SERVICE.id(),
                    new Endpoint("10.0.1.1", 80),
                    NORTH,
                    64,
                    false,
                    Duration.ZERO,
                    1);

    /** Carries messages in memory; links can be cut. */
    private static final class Network {
        private final Map<Endpoint, Line> lines = new ConcurrentHashMap<>();
        private final Set<Endpoint> cut = ConcurrentHashMap.newKeySet();

        Line line(Endpoint at) {
            return lines.computeIfAbsent(at, a -> new Line(this, a));
        }
    }

    private static final class Line implements PeerTransport {
        private final Network network;
        private final Endpoint at;
        private final LinkedBlockingQueue<Received> arrived = new LinkedBlockingQueue<>();
        private volatile boolean malformedNext;

        Line(Network network, Endpoint at) {
            this.network = network;
            this.at = at;
        }

        @Override
        public void send(LoadMessage message, Endpoint to) {
            if (!network.cut.contains(at) && !network.cut.contains(to)) {
                network.line(to).arrived.add(new Received(message, at));
            }
        }

        @Override
        public Received receive() throws IOException, MalformedMessageException {
            try {
                Received next = arrived.take();
                if (malformedNext) {
                    malformedNext = false;
                    throw new MalformedMessageException("test");
                }
                return next;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }

        @Override
        public void close() {
            network.cut.add(at);
        }
    }

    private record Daemon(
            Member member, Target target, PeerLoads loads, LoadExchange exchange, Line line) {}

    private final Network network = new Network();
    private final Map<HostId, Daemon> daemons = new HashMap<>();
    private final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
    private final EventLog log = EventLog.start(logBytes);

    private Daemon start(int number, int calls) {
        return start(number, calls, NORTH);
    }

    private Daemon start(int number, int calls, FailureDomainId domain) {
        HostId host = new HostId("edge-" + (100 + number));
        Endpoint at = new Endpoint("10.0.0." + number, 7340);
        Member member = new Member(host, domain, at);
        PeerLoads loads = new PeerLoads(Ticker.SYSTEM);
        TargetDirectory directory = new TargetDirectory(Ticker.SYSTEM);
        directory.put(ENTRY);
        Target target = directory.targets(ENTRY.service()).get(0);
        for (int i = 0; i < calls; i++) {
            place(directory, loads);
        }
        Line line = network.line(at);
        LoadExchange exchange =
                new LoadExchange(
                        new LoadExchange.Parts(
                                member, number, line, directory, loads, log, Ticker.SYSTEM));
        exchange.start();
        Daemon d = new Daemon(member, target, loads, exchange, line);
        daemons.put(host, d);
        return d;
    }

    private void listAll() {
        List<Member> list = daemons.values().stream().map(Daemon::member).toList();
        daemons.values().forEach(d -> d.exchange().listed(list));
    }

    private static void place(TargetDirectory directory, PeerLoads loads) {
        Placement placement =
                new Placement(
                        ENTRY.domain(), () -> new ColdLimit(1, 0), loads, new SplittableRandom(1));
        PlacementRequest request =
                new PlacementRequest(
                        SERVICE, Optional.empty(), Set.of(), Set.of(), new FleetShare(1, 0));
        assertTrue(placement.place(request, directory.targets(SERVICE.id())).isPresent());
    }

    private static int told(Daemon d) {
        return d.loads().view().requests(TARGET);
    }

    private static void await(BooleanSupplier condition) {
        for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
            Tasks.sleep(Duration.ofMillis(10));
        }
        assertTrue(condition.getAsBoolean());
    }

    @AfterEach
    void stop() throws IOException {
        for (Daemon d : daemons.values()) {
            d.exchange().close();
        }
    }

    @Nested
    final class ListedDaemons {
        /** Guards against a daemon that nobody tells anything. */
        @Test
        void allTellEachOther() {
            Daemon a = start(1, 3);
            Daemon b = start(2, 4);
            Daemon c = start(3, 5);
            listAll();
            await(() -> told(a) == 9 && told(b) == 8 && told(c) == 7);
        }
    }

    @Nested
    final class PartsThatWereRead {
        /** Guards against a daemon that does not learn which engine keeps the parts of a prompt. */
        @Test
        void othersKnowTheEngine() {
            Daemon a = start(1, 0);
            Daemon b = start(2, 0);
            b.exchange().listed(List.of(a.member()));
            b.target().recordCachedPrefix(PARTS);
            await(() -> a.target().hasCachedPrefix(PARTS));
        }
    }

    @Nested
    final class LargeFleet {
        private static final int DAEMONS = 20;

        private final List<Daemon> all = new ArrayList<>();

        private void startAll() {
            for (int i = 0; i < DAEMONS; i++) {
                all.add(start(i, 1, i % 2 == 0 ? NORTH : SOUTH));
            }
            listAll();
        }

        /** Guards against sums that lack a domain, count a daemon twice or the receiver itself. */
        @Test
        void allKnowTheCallsOfAllOthers() {
            startAll();
            await(() -> all.stream().allMatch(d -> told(d) == DAEMONS - 1));
        }

        /** Guards against a domain that knows nothing because its leader is gone. */
        @Test
        void nextDaemonLeadsWhenTheFirstIsSilent() throws IOException {
            startAll();
            await(() -> all.stream().allMatch(d -> told(d) == DAEMONS - 1));
            Daemon leader = all.removeFirst();
            leader.exchange().close();
            await(() -> all.stream().noneMatch(d -> told(d) == DAEMONS - 1));
            await(() -> all.stream().allMatch(d -> told(d) == DAEMONS - 2));
        }
    }

    /** Pattern: machines are added ({@code add_nodes}); the others read the list seldom. */
    @Nested
    final class NewDaemon {
        /** Guards against a new daemon that the others do not know for seconds. */
        @Test
        void othersLearnOfItFromItsMessage() {
            Daemon a = start(1, 3);
            Daemon b = start(2, 4);
            b.exchange().listed(List.of(a.member()));
            await(() -> told(a) == 4 && told(b) == 3);
        }
    }

    /** Pattern: a machine is cut off and comes back ({@code node_cut}). */
    @Nested
    final class CutOff {
        /** Guards against a daemon that is forgotten because it was silent. */
        @Test
        void itsCallsStopCountingAndCountAgain() {
            Daemon a = start(1, 3);
            Daemon b = start(2, 4);
            b.exchange().listed(List.of(a.member()));
            await(() -> told(a) == 4);
            network.cut.add(b.member().address());
            await(() -> told(a) == 0);
            network.cut.remove(b.member().address());
            await(() -> told(a) == 4);
        }
    }

    @Nested
    final class OtherBytes {
        /** Guards against a receiver that ends, or says nothing, because of unreadable bytes. */
        @Test
        void messageThatCannotBeReadIsLeftOutWithALogLine() {
            Daemon a = start(1, 3);
            Daemon b = start(2, 4);
            a.line().malformedNext = true;
            b.exchange().listed(List.of(a.member()));
            await(() -> told(a) == 4);
            await(
                    () ->
                            logBytes.toString(StandardCharsets.UTF_8)
                                    .contains("peer_message_left_out"));
            assertEquals(0, network.cut.size());
        }
    }
}
