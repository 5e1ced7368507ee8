package org.godwithoist.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import java.util.OptionalInt;
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
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.overload.CapacityObserver;
import org.godwithoist.overload.OverloadControl;
import org.godwithoist.overload.OverloadLimits;
import org.godwithoist.overload.ServiceStatus;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.quarantine.SuspectId;
import org.godwithoist.streams.OriginStore;
import org.godwithoist.streams.RecordedOrigins;
import org.godwithoist.streams.ServedRecord;
import org.godwithoist.streams.ServedRow;
import org.godwithoist.streams.StreamId;
import org.godwithoist.streams.StreamOrigin;
import org.godwithoist.targets.ColdLimit;
import org.godwithoist.targets.FleetShare;
import org.godwithoist.targets.FleetWork;
import org.godwithoist.targets.LimitStatement;
import org.godwithoist.targets.LoadReport;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.PlacementRequest;
import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.RateLimit;
import org.godwithoist.targets.RequestWork;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;
import org.godwithoist.targets.TargetIncarnation;
import org.godwithoist.targets.TokenWork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link LoadExchange} over an in-memory network. */
final class LoadExchangeTest {
    private static final TargetId TARGET = new TargetId("i-1");
    private static final FailureDomainId NORTH = new FailureDomainId("north");
    private static final FailureDomainId SOUTH = new FailureDomainId("south");
    private static final PrefixKey PREFIX = PrefixKey.of("parts");
    private static final ServiceSpec SERVICE =
            new ServiceSpec(new ServiceId("s"), 100, Duration.ZERO, 0, "/health", Optional.empty());
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

    /** Delivers messages in memory; addresses can be disconnected. */
    private static final class Network {
        private final Map<Endpoint, InMemoryTransport> transports = new ConcurrentHashMap<>();
        private final Set<Endpoint> disconnected = ConcurrentHashMap.newKeySet();

        InMemoryTransport transport(Endpoint address) {
            return transports.computeIfAbsent(address, a -> new InMemoryTransport(this, a));
        }
    }

    private static final class InMemoryTransport implements PeerTransport {
        private final Network network;
        private final Endpoint address;
        private final LinkedBlockingQueue<Received> received = new LinkedBlockingQueue<>();
        private volatile boolean malformedNext;

        InMemoryTransport(Network network, Endpoint address) {
            this.network = network;
            this.address = address;
        }

        @Override
        public void send(PeerMessage message, Endpoint to) {
            if (!network.disconnected.contains(address) && !network.disconnected.contains(to)) {
                network.transport(to).received.add(new Received(message, address));
            }
        }

        @Override
        public Received receive() throws IOException, MalformedMessageException {
            try {
                Received next = received.take();
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
            network.disconnected.add(address);
        }
    }

    private record Daemon(
            Member member,
            TargetDirectory directory,
            Target target,
            PeerLoads loads,
            FleetWork work,
            Quarantine quarantine,
            OverloadControl overload,
            RecordedOrigins origins,
            LoadExchange exchange,
            InMemoryTransport transport) {}

    /** A store that no daemon reaches. */
    private static final class UnreachableOriginStore implements OriginStore {
        private static IOException failure() {
            return new IOException("unreachable");
        }

        @Override
        public void save(List<BegunStream> begun, List<StreamId> expired) throws IOException {
            throw failure();
        }

        @Override
        public Optional<StreamOrigin> find(StreamId stream) throws IOException {
            throw failure();
        }

        @Override
        public String removeExpired(String fromKey) throws IOException {
            throw failure();
        }

        @Override
        public ServedRow readServed(ServiceId service) throws IOException {
            throw failure();
        }

        @Override
        public boolean writeServed(ServiceId service, ServedRecord record, long expectedVersion)
                throws IOException {
            throw failure();
        }
    }

    private final Network network = new Network();
    private final Map<HostId, Daemon> daemons = new HashMap<>();
    private final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
    private final EventLog log = EventLog.start(logBytes);

    /** Daemons to which the store responds. */
    private final Set<HostId> inTouch = ConcurrentHashMap.newKeySet();

    private Daemon startDaemon(int number, int requests) {
        return startDaemon(number, requests, NORTH);
    }

    private Daemon startDaemon(int number, int requests, FailureDomainId domain) {
        HostId host = new HostId("edge-" + (100 + number));
        Endpoint address = new Endpoint("10.0.0." + number, 7340);
        Member member = new Member(host, domain, address);
        PeerLoads loads = new PeerLoads(Ticker.SYSTEM);
        TargetDirectory directory = new TargetDirectory(Ticker.SYSTEM);
        directory.put(ENTRY);
        FleetWork work = new FleetWork(directory, Ticker.SYSTEM);
        Target target = directory.targets(ENTRY.service()).get(0);
        for (int i = 0; i < requests; i++) {
            startRequest(directory, loads);
        }
        Quarantine quarantine = new Quarantine(log, Ticker.SYSTEM);
        OverloadControl overload = overloadControl(directory, loads);
        RecordedOrigins origins =
                new RecordedOrigins(
                        List.of(new UnreachableOriginStore()), () -> true, log, Ticker.SYSTEM);
        InMemoryTransport transport = network.transport(address);
        LoadExchange exchange =
                new LoadExchange(
                        new LoadExchange.Dependencies(
                                member,
                                number,
                                transport,
                                directory,
                                loads,
                                work,
                                quarantine,
                                overload,
                                Optional.empty(),
                                origins,
                                () -> inTouch.contains(host),
                                new Supervisor((name, cause, backoff) -> {}, Ticker.SYSTEM),
                                log,
                                Ticker.SYSTEM));
        exchange.start();
        Daemon daemon =
                new Daemon(
                        member,
                        directory,
                        target,
                        loads,
                        work,
                        quarantine,
                        overload,
                        origins,
                        exchange,
                        transport);
        daemons.put(host, daemon);
        return daemon;
    }

    private static OverloadControl overloadControl(TargetDirectory directory, PeerLoads loads) {
        return new OverloadControl(
                new OverloadControl.Dependencies(
                        directory,
                        loads,
                        Set::of,
                        () -> new FleetShare(2, 0),
                        OverloadLimits.DEFAULT,
                        CapacityObserver.NONE,
                        Ticker.SYSTEM,
                        new SplittableRandom(1)));
    }

    private void distributeMemberList() {
        List<Member> list = daemons.values().stream().map(Daemon::member).toList();
        daemons.values().forEach(d -> d.exchange().updateMembers(list));
    }

    private static void startRequest(TargetDirectory directory, PeerLoads loads) {
        Placement placement =
                new Placement(
                        ENTRY.domain(), () -> new ColdLimit(1, 0), loads, new SplittableRandom(1));
        PlacementRequest request =
                new PlacementRequest(
                        SERVICE, Optional.empty(), Set.of(), Set.of(), new FleetShare(1, 0));
        assertTrue(placement.place(request, directory.targets(SERVICE.id())).isPresent());
    }

    private static int reportedRequests(Daemon d) {
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
    final class SeveralVersions {
        private static TargetEntry entry(String version) {
            return new TargetEntry(
                    new TargetId("target-" + version),
                    SERVICE.id(),
                    new Endpoint("10.0.1.2", 80),
                    NORTH,
                    64,
                    false,
                    Duration.ZERO,
                    1,
                    Optional.of(new SoftwareVersion(version)));
        }

        /** Guards against a daemon without the store that never hears of the second version. */
        @Test
        void reachDaemonsThatKnowOne() {
            Daemon informed = startDaemon(1, 0);
            Daemon other = startDaemon(2, 0);
            distributeMemberList();
            other.origins().setTargets(List.of(entry("v1")));
            informed.origins().setTargets(List.of(entry("v1"), entry("v2")));
            await(() -> other.origins().sightings().size() == 2);
            assertTrue(other.exchange().hearsOfVersions());
        }

        /** Guards against daemons that take each other's messages for news of the store. */
        @Test
        void areHeardOfFromDaemonsInContactWithTheStoreOnly() throws IOException {
            Daemon first = startDaemon(1, 0);
            Daemon second = startDaemon(2, 0);
            Daemon lost = startDaemon(3, 0);
            distributeMemberList();
            await(() -> second.exchange().hearsOfVersions());
            lost.exchange().close();
            await(() -> !second.exchange().hearsOfVersions());
            inTouch.add(first.member().host());
            await(() -> second.exchange().hearsOfVersions());
            assertFalse(first.exchange().hearsOfVersions());
        }

        /** Guards against versions that leaders do not pass on. */
        @Test
        void reachMembersOfAnotherDomain() {
            Daemon informed = startDaemon(1, 0);
            for (int i = 2; i < 20; i++) {
                startDaemon(i, 0, i < 10 ? NORTH : SOUTH);
            }
            Daemon last = startDaemon(20, 0, SOUTH);
            daemons.values().forEach(d -> d.origins().setTargets(List.of(entry("v1"))));
            distributeMemberList();
            informed.origins().setTargets(List.of(entry("v1"), entry("v2")));
            await(() -> last.origins().sightings().size() == 2);
        }
    }

    @Nested
    final class FullServices {
        private boolean isLimitedByDemand(Daemon d) {
            return d.overload().statuses().stream()
                    .anyMatch(s -> s.limited() && !s.evenShare() && s.limit() > 0);
        }

        private void fill(Daemon d) {
            d.target().recordLoad(new LoadReport(1, 0, ENTRY.slots(), OptionalInt.of(100)));
        }

        /** Guards against demand that is not sent, or that receivers ignore. */
        @Test
        void daemonsKnowEachOthersDemand() {
            Daemon a = startDaemon(1, ENTRY.slots() / 2);
            Daemon b = startDaemon(2, ENTRY.slots() / 2);
            fill(a);
            fill(b);
            distributeMemberList();
            await(() -> isLimitedByDemand(a) && isLimitedByDemand(b));
        }

        /** Guards against limits that stay those of a daemon that has left. */
        @Test
        void missingDemandLeadsToTheEvenShare() {
            Daemon a = startDaemon(1, ENTRY.slots());
            Daemon b = startDaemon(2, 1);
            fill(a);
            fill(b);
            distributeMemberList();
            await(() -> isLimitedByDemand(a));
            network.disconnected.add(b.member().address());
            await(() -> a.overload().statuses().stream().anyMatch(ServiceStatus::evenShare));
        }
    }

    @Nested
    final class ListedDaemons {
        /** Guards against a listed daemon that receives no reports, or not from all others. */
        @Test
        void allReportToEachOther() {
            Daemon a = startDaemon(1, 3);
            Daemon b = startDaemon(2, 4);
            Daemon c = startDaemon(3, 5);
            distributeMemberList();
            await(
                    () ->
                            reportedRequests(a) == 9
                                    && reportedRequests(b) == 8
                                    && reportedRequests(c) == 7);
        }
    }

    @Nested
    final class Work {
        private static final RequestWork REQUEST =
                new RequestWork(new TokenWork(1280, 12_800), false);

        private static void reportWorkTime(Daemon d) {
            d.target().recordLoad(new LoadReport(1, 0, 8, OptionalInt.of(200)));
        }

        /** Guards against daemons that know only the work that they have sent themselves. */
        @Test
        void othersKnowTheOutstandingWorkAndTheWorkTime() {
            Daemon a = startDaemon(1, 0);
            Daemon b = startDaemon(2, 0);
            distributeMemberList();
            b.target().startWaiting(REQUEST);
            reportWorkTime(b);
            await(() -> a.work().outstanding(a.target()).equals(REQUEST.tokens()));
            await(() -> a.target().reportsWorkTime());
        }

        /** Guards against additional messages where no target reports work times. */
        @Test
        void nothingIsSentWhileNoTargetReportsWorkTimes() {
            Daemon a = startDaemon(1, 0);
            Daemon b = startDaemon(2, 0);
            distributeMemberList();
            b.target().startWaiting(REQUEST);
            Tasks.sleep(Duration.ofMillis(600));
            assertEquals(TokenWork.NONE, a.work().outstanding(a.target()));
        }

        /** Guards against sums of a large fleet that omit daemons or count them twice. */
        @Test
        void workOfALargeFleetAddsUpWithoutThatOfTheReceiver() {
            List<Daemon> all = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                all.add(startDaemon(i, 0, i % 2 == 0 ? NORTH : SOUTH));
            }
            distributeMemberList();
            all.forEach(d -> d.target().startWaiting(REQUEST));
            all.forEach(Work::reportWorkTime);
            TokenWork sum = new TokenWork(20 * 1280, 20 * 12_800);
            await(() -> all.stream().allMatch(d -> d.work().outstanding(d.target()).equals(sum)));
        }
    }

    @Nested
    final class CachedPrefixes {
        /** Guards against a daemon that does not know which engine has a prompt prefix cached. */
        @Test
        void othersKnowTheCachingEngine() {
            Daemon a = startDaemon(1, 0);
            Daemon b = startDaemon(2, 0);
            b.exchange().updateMembers(List.of(a.member()));
            b.target().recordCachedPrefix(PREFIX);
            await(() -> a.target().hasCachedPrefix(PREFIX));
        }
    }

    @Nested
    final class PromptEvidence {
        private static final List<SuspectId> POISON =
                List.of(new SuspectId("a1"), new SuspectId("dead"));

        private static void crash(Daemon observer, int number) {
            observer.quarantine()
                    .recordCrash(
                            new TargetIncarnation(new TargetId("crashed-" + number), 1), POISON);
        }

        private static boolean blocks(Daemon d) {
            return d.quarantine().remaining(POISON).isPresent();
        }

        /** Guards against daemons that each count only the crashes they have seen. */
        @Test
        void crashesSeenBySeveralDaemonsAddUp() {
            List<Daemon> all = List.of(startDaemon(1, 0), startDaemon(2, 0), startDaemon(3, 0));
            distributeMemberList();
            for (int i = 0; i < all.size(); i++) {
                crash(all.get(i), i);
            }
            await(() -> all.stream().allMatch(PromptEvidence::blocks));
        }

        /** Guards against a restarted daemon that lets the same part crash targets again. */
        @Test
        void daemonThatStartsLaterLearnsOfThem() {
            Daemon first = startDaemon(1, 0);
            for (int i = 0; i < 3; i++) {
                crash(first, i);
            }
            Tasks.sleep(Duration.ofMillis(100));
            Daemon later = startDaemon(2, 0);
            distributeMemberList();
            await(() -> blocks(later));
        }

        /** Guards against a released part that stays blocked at other daemons. */
        @Test
        void responseSeenByOneDaemonReleasesThePartEverywhere() {
            Daemon a = startDaemon(1, 0);
            Daemon b = startDaemon(2, 0);
            distributeMemberList();
            for (int i = 0; i < 5; i++) {
                crash(a, i);
            }
            await(() -> blocks(b));
            b.quarantine().recordResponse(POISON, Ticker.SYSTEM.nanos());
            await(() -> !blocks(a));
        }
    }

    @Nested
    final class LargeFleet {
        private static final int DAEMONS = 20;

        private final List<Daemon> all = new ArrayList<>();

        private void startAll() {
            for (int i = 0; i < DAEMONS; i++) {
                all.add(startDaemon(i, 1, i % 2 == 0 ? NORTH : SOUTH));
            }
            distributeMemberList();
        }

        /**
         * Guards against sums that omit a domain, count a daemon twice, or include the requests of
         * the receiver itself.
         */
        @Test
        void allKnowTheRequestsOfAllOthers() {
            startAll();
            await(() -> all.stream().allMatch(d -> reportedRequests(d) == DAEMONS - 1));
        }

        /** Guards against evidence that does not cross the leaders of the domains. */
        @Test
        void evidenceReachesAllDomains() {
            startAll();
            for (int i = 0; i < 3; i++) {
                PromptEvidence.crash(all.get(DAEMONS - 1 - i), i);
            }
            await(() -> all.stream().allMatch(PromptEvidence::blocks));
        }

        /** Guards against a domain without load reports after its leader has failed. */
        @Test
        void nextDaemonLeadsWhenTheLeaderIsUnresponsive() throws IOException {
            startAll();
            await(() -> all.stream().allMatch(d -> reportedRequests(d) == DAEMONS - 1));
            Daemon leader = all.removeFirst();
            leader.exchange().close();
            await(() -> all.stream().noneMatch(d -> reportedRequests(d) == DAEMONS - 1));
            await(() -> all.stream().allMatch(d -> reportedRequests(d) == DAEMONS - 2));
        }
    }

    /**
     * Scenario: hosts are added ({@code add_nodes}). The other daemons poll the list of daemons
     * only every few seconds.
     */
    @Nested
    final class NewlyJoinedDaemon {
        /** Guards against a newly joined daemon that stays unknown until the next poll. */
        @Test
        void firstMessageMakesItKnown() {
            Daemon a = startDaemon(1, 3);
            Daemon b = startDaemon(2, 4);
            b.exchange().updateMembers(List.of(a.member()));
            await(() -> reportedRequests(a) == 4 && reportedRequests(b) == 3);
        }
    }

    /** Scenario: a daemon is replaced while targets leave ({@code node_kill}, {@code release}). */
    @Nested
    final class RestartedDaemon {
        /** Longer than a daemon announces a leaving target by itself. */
        private static final Duration AFTER_THE_ANNOUNCEMENT = Duration.ofMillis(2300);

        /**
         * Guards against requests to a target that announced its leaving before the daemon started,
         * while its entry in the store still says that it is ready.
         */
        @Test
        void othersTellItWhichTargetsAreLeaving() {
            Daemon a = startDaemon(1, 3);
            a.directory().recordLeaving(a.target());
            Tasks.sleep(AFTER_THE_ANNOUNCEMENT);
            Daemon b = startDaemon(2, 4);
            b.exchange().updateMembers(List.of(a.member()));
            await(() -> b.target().isLeaving());
        }
    }

    /** Scenario: a target limits the requests of all daemons ({@code srv_slow capped}). */
    @Nested
    final class RateLimitedTarget {
        /**
         * Guards against a daemon that gets no responses of a target and learns neither of its
         * limit nor of the end, in a fleet in which leaders must forward both.
         */
        @Test
        void limitAndItsEndReachAllDomains() {
            for (int i = 1; i <= 18; i++) {
                startDaemon(i, 0, i <= 9 ? NORTH : SOUTH);
            }
            distributeMemberList();
            Target known = daemons.get(new HostId("edge-109")).target();
            known.limits().recordRate(LimitStatement.of(new RateLimit(500)), 0);
            await(() -> daemons.values().stream().allMatch(d -> isLimited(d)));
            known.limits().recordRate(LimitStatement.none(), Ticker.SYSTEM.nanos());
            await(() -> daemons.values().stream().noneMatch(d -> isLimited(d)));
        }

        private static boolean isLimited(Daemon daemon) {
            return daemon.target().limits().rate().isPresent();
        }
    }

    /** Scenario: a host loses its network connection and regains it ({@code node_cut}). */
    @Nested
    final class DisconnectedDaemon {
        /** Guards against a daemon that is dropped for good after it was unreachable. */
        @Test
        void itsRequestsExpireAndAreCountedAgain() {
            Daemon a = startDaemon(1, 3);
            Daemon b = startDaemon(2, 4);
            b.exchange().updateMembers(List.of(a.member()));
            await(() -> reportedRequests(a) == 4);
            network.disconnected.add(b.member().address());
            await(() -> reportedRequests(a) == 0);
            network.disconnected.remove(b.member().address());
            await(() -> reportedRequests(a) == 4);
        }
    }

    @Nested
    final class MalformedMessages {
        /** Guards against a malformed message that stops the receiver or is not logged. */
        @Test
        void malformedMessageIsSkippedAndLogged() {
            Daemon a = startDaemon(1, 3);
            Daemon b = startDaemon(2, 4);
            a.transport().malformedNext = true;
            b.exchange().updateMembers(List.of(a.member()));
            await(() -> reportedRequests(a) == 4);
            await(
                    () ->
                            logBytes.toString(StandardCharsets.UTF_8)
                                    .contains("peer_message_left_out"));
            assertEquals(0, network.disconnected.size());
        }
    }
}
