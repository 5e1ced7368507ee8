package org.godwithoist.admission.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.godwithoist.admission.AdmissionTiming;
import org.godwithoist.admission.ShardId;
import org.godwithoist.admission.Slot;
import org.godwithoist.admission.SlotAdmission;
import org.godwithoist.admission.SlotRequest;
import org.godwithoist.admission.TargetLoadReports;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.FencingMode;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.Member;
import org.godwithoist.membership.MemberDirectory;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests the admission of complete daemons in real time, with the timing of the protocol divided by
 * ten.
 */
class SlotAdmissionTest {
    private static final PoolId POOL = new PoolId("p");
    private static final ShardId SHARD = new ShardId(POOL, 0);
    private static final TargetId TARGET = new TargetId("t0");
    private static final FailureDomainId DOMAIN = new FailureDomainId("d");
    private static final Endpoint ENDPOINT = Endpoint.parse("127.0.0.1:1");
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final AdmissionTiming FAST_TIMING =
            new AdmissionTiming(
                    Duration.ofMillis(600),
                    Duration.ofMillis(200),
                    Duration.ofMillis(200),
                    Duration.ofMillis(50),
                    Duration.ofMillis(50),
                    Duration.ofMillis(200),
                    Duration.ofMillis(100),
                    Duration.ofMillis(1500),
                    Duration.ofSeconds(60),
                    Duration.ofSeconds(54),
                    Duration.ofSeconds(1));

    private final FakeTransport transport = new FakeTransport();
    private final FakeTableStore store = new FakeTableStore();
    private final Map<HostId, SlotAdmission> daemons = new TreeMap<>();
    private final Set<HostId> unresponsive = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private final Set<HostId> restarted = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private volatile boolean inContactWithAll = true;
    private volatile ServiceState service = ServiceState.IN_SERVICE;
    private final AtomicInteger directoryVersion = new AtomicInteger();

    private Bundle bundle(AdmissionLimits limits) {
        var pool = new Pool(POOL, Pool.Kind.SERVICE, 1, limits, FencingMode.CHECKED, 0);
        return Bundle.of(List.of(), List.of(), List.of(pool), List.of(DOMAIN), List.of());
    }

    private void start(int count, AdmissionLimits limits) {
        Bundle bundle = bundle(limits);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(new Member(new HostId("h" + i), DOMAIN, ENDPOINT, 1));
        }
        for (Member m : members) {
            daemons.put(m.host(), admission(bundle, m, members));
        }
        daemons.values().forEach(SlotAdmission::start);
        await(() -> owner().isPresent());
        // The first slot shows that the owner has the reports of all members.
        try (var s = new UsedSlot(acquire(owner().orElseThrow(), TIMEOUT).orElseThrow())) {
            assertTrue(s.slot().use());
        }
    }

    private SlotAdmission admission(Bundle bundle, Member self, List<Member> members) {
        var admission =
                new SlotAdmission(
                        () -> bundle,
                        new Members(self, members),
                        new Targets(),
                        new LeaseRows(store),
                        new TransportPeers(transport.transportOf(self.host())),
                        TargetLoadReports.NONE,
                        Ticker.SYSTEM,
                        FAST_TIMING);
        admission.serve();
        return admission;
    }

    /** Replaces a daemon by a new run without any state; all members see the new run. */
    private void restart(HostId host, AdmissionLimits limits) {
        daemons.get(host).close();
        List<Member> members = new ArrayList<>();
        for (HostId h : daemons.keySet()) {
            members.add(new Member(h, DOMAIN, ENDPOINT, h.equals(host) ? 2 : 1));
        }
        restarted.add(host);
        Member self = new Member(host, DOMAIN, ENDPOINT, 2);
        daemons.put(host, admission(bundle(limits), self, members));
        daemons.get(host).start();
    }

    private record UsedSlot(Slot slot) implements AutoCloseable {
        @Override
        public void close() {
            slot.release(Slot.Outcome.COMPLETED, Duration.ofMillis(1));
        }
    }

    private Optional<HostId> owner() {
        return daemons.keySet().stream().filter(h -> daemons.get(h).owns(SHARD)).findFirst();
    }

    private HostId nonOwner() {
        HostId owner = owner().orElseThrow();
        return daemons.keySet().stream().filter(h -> !h.equals(owner)).findFirst().orElseThrow();
    }

    private Optional<Slot> acquire(HostId host, Duration timeout) {
        var request =
                new SlotRequest(
                        new RequestId("r"),
                        new WorkspaceId("w"),
                        Priority.INTERACTIVE,
                        POOL,
                        TARGET);
        return daemons.get(host).acquire(request, timeout);
    }

    private void partitionAll() {
        for (HostId a : daemons.keySet()) {
            daemons.keySet().stream()
                    .filter(b -> !b.equals(a))
                    .forEach(b -> transport.partitions.add(Set.of(a, b)));
        }
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "condition not met within 10 s");
            Tasks.sleep(Duration.ofMillis(5));
        }
    }

    private static AdmissionLimits limits(int reservedHolders) {
        return new AdmissionLimits(1.5, 4, 4, 2, 3.0, 16, reservedHolders, 1);
    }

    @AfterEach
    void stop() {
        daemons.values().forEach(SlotAdmission::close);
    }

    private final class Members implements MemberDirectory {
        private final Member self;
        private final List<Member> members;

        Members(Member self, List<Member> members) {
            this.self = self;
            this.members = members.stream().sorted(Comparator.comparing(Member::host)).toList();
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public List<Member> members() {
            return members.stream().map(m -> restarted.contains(m.host()) ? newRun(m) : m).toList();
        }

        private static Member newRun(Member m) {
            return new Member(m.host(), m.failureDomain(), m.peer(), 2);
        }

        @Override
        public Optional<Member> find(HostId host) {
            return members.stream().filter(m -> m.host().equals(host)).findFirst();
        }

        @Override
        public boolean inContactWithAll() {
            return inContactWithAll;
        }

        @Override
        public boolean inContactWith(HostId host) {
            return !unresponsive.contains(host);
        }

        @Override
        public boolean isUnresponsive(HostId host) {
            return unresponsive.contains(host);
        }
    }

    private final class Targets implements TargetDirectory {
        @Override
        public List<Target> targets(PoolId pool) {
            return List.of(new Target(TARGET, new HostId("x"), POOL, DOMAIN, ENDPOINT, service));
        }

        @Override
        public Optional<Target> find(TargetId id) {
            return targets(POOL).stream().filter(t -> t.id().equals(id)).findFirst();
        }

        @Override
        public long version() {
            return directoryVersion.get();
        }
    }

    @Nested
    class IdleFleet {
        @BeforeEach
        void startDaemons() {
            start(3, limits(0));
        }

        /** Guards against a request that waits for a regular report or for several round trips. */
        @Test
        void slotOfARemoteOwnerTakesOneRoundTrip() {
            transport.delay = Duration.ofMillis(10);
            HostId host = nonOwner();
            List<Long> millis = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                Tasks.sleep(Duration.ofMillis(30));
                long start = System.nanoTime();
                try (var s = new UsedSlot(acquire(host, TIMEOUT).orElseThrow())) {
                    millis.add((System.nanoTime() - start) / 1_000_000);
                    assertTrue(s.slot().use());
                }
            }
            millis.sort(Comparator.naturalOrder());
            assertTrue(millis.get(0) < 38, "fastest of 20 ms round trips: " + millis);
        }

        /** Guards against messages for a ledger in the same process. */
        @Test
        void slotOfTheLocalOwnerTakesNoRoundTrip() {
            partitionAll();
            assertTrue(acquire(owner().orElseThrow(), Duration.ZERO).isPresent());
        }

        /** Guards against one round trip per waiting request. */
        @Test
        void waitingRequestsShareRoundTrips() throws InterruptedException {
            transport.delay = Duration.ofMillis(10);
            HostId host = nonOwner();
            int before = transport.exchanges.get();
            CountDownLatch done = new CountDownLatch(40);
            for (int i = 0; i < 40; i++) {
                Tasks.start(
                        "request",
                        () -> {
                            acquire(host, Duration.ofMillis(300)).ifPresent(Slot::use);
                            done.countDown();
                        });
            }
            assertTrue(done.await(5, TimeUnit.SECONDS));
            int used = transport.exchanges.get() - before;
            assertTrue(used < 40, used + " exchanges for 40 requests");
        }

        /**
         * Guards against slots above the limit, and against waiting requests that are never served.
         */
        @Test
        void waitingRequestGetsTheNextFreedSlot() {
            HostId host = nonOwner();
            List<Slot> slots = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Slot s = acquire(host, TIMEOUT).orElseThrow();
                assertTrue(s.use());
                slots.add(s);
            }
            assertEquals(Optional.empty(), acquire(host, Duration.ofMillis(100)));
            assertTrue(daemons.get(host).expectedWait(TARGET).toMillis() >= 0);
            Tasks.start(
                    "end",
                    () -> {
                        Tasks.sleep(Duration.ofMillis(100));
                        slots.get(0).release(Slot.Outcome.COMPLETED, Duration.ofMillis(1));
                    });
            assertTrue(acquire(owner().orElseThrow(), TIMEOUT).isPresent());
        }

        /** Guards against new requests to a target that starts leaving while a request waits. */
        @Test
        void leavingTargetGetsNoSlot() {
            Slot slot = acquire(nonOwner(), TIMEOUT).orElseThrow();
            service = ServiceState.DRAINING;
            directoryVersion.incrementAndGet();
            assertFalse(slot.use());
            assertEquals(Optional.empty(), acquire(nonOwner(), Duration.ofMillis(50)));
        }

        /** Guards against slots whose use is not reported, before the start and after the stop. */
        @Test
        void closedAdmissionGivesNoSlot() {
            HostId owner = owner().orElseThrow();
            daemons.get(owner).close();
            assertEquals(Optional.empty(), acquire(owner, Duration.ZERO));
        }

        /** Guards against demand that is lost with its message. */
        @Test
        void lostExchangeIsRetried() {
            transport.lostMessages.set(1);
            assertTrue(acquire(nonOwner(), TIMEOUT).isPresent());
        }
    }

    @Nested
    class OwnerFails {
        @BeforeEach
        void startDaemons() {
            start(3, limits(0));
        }

        /** Guards against a grant of an owner that processes an old request after a pause. */
        @Test
        void responseOfAPausedOwnerIsDiscarded() {
            HostId host = nonOwner();
            HostId owner = owner().orElseThrow();
            transport.pause(owner);
            Tasks.start(
                    "resume",
                    () -> {
                        Tasks.sleep(Duration.ofMillis(400));
                        transport.resume(owner);
                    });
            long start = System.nanoTime();
            Slot slot = acquire(host, TIMEOUT).orElseThrow();
            assertTrue(System.nanoTime() - start >= Duration.ofMillis(400).toNanos());
            assertTrue(slot.use(), "the slot must come from a report sent after the pause");
        }

        /** Guards against a shard without owner after a daemon failed. */
        @Test
        void anotherDaemonTakesOver() {
            HostId owner = owner().orElseThrow();
            HostId host = nonOwner();
            daemons.get(owner).close();
            daemons.remove(owner);
            unresponsive.add(owner);
            await(() -> owner().isPresent());
            assertTrue(acquire(host, TIMEOUT).isPresent());
        }

        /**
         * Guards against a planned stop that leaves the shard without owner for the takeover delay.
         */
        @Test
        void plannedStopHandsTheShardOver() {
            HostId owner = owner().orElseThrow();
            HostId host = nonOwner();
            assertTrue(daemons.get(owner).release(Duration.ofSeconds(5)));
            await(() -> owner().filter(h -> !h.equals(owner)).isPresent());
            assertTrue(acquire(host, TIMEOUT).isPresent());
            assertTrue(acquire(owner, TIMEOUT).isPresent(), "it is still a holder");
        }
    }

    @Nested
    class StoreOutage {
        /** Guards against a stop of requests while the store is down and all candidates respond. */
        @Test
        void promisesKeepTheLease() {
            start(3, limits(0));
            store.setFault(StoreFault.DOWN);
            Tasks.sleep(Duration.ofSeconds(2));
            assertTrue(acquire(nonOwner(), TIMEOUT).isPresent());
        }

        /** Guards against grants of an owner that its candidates could have replaced. */
        @Test
        void ownerStopsWithoutItsCandidates() {
            start(3, limits(0));
            HostId owner = owner().orElseThrow();
            store.setFault(StoreFault.DOWN);
            daemons.keySet().stream()
                    .filter(h -> !h.equals(owner))
                    .forEach(h -> transport.partitions.add(Set.of(owner, h)));
            Tasks.sleep(Duration.ofSeconds(1));
            assertEquals(Optional.empty(), acquire(owner, Duration.ofMillis(100)));
            transport.partitions.clear();
            assertTrue(acquire(owner, TIMEOUT).isPresent());
        }
    }

    @Nested
    class StartDuringAnOutage {
        /** Guards against a new daemon that serves no requests until the store recovers. */
        @Test
        void theOwnerAsksANewDaemonForItsReport() {
            start(3, limits(0));
            HostId host = nonOwner();
            store.setFault(StoreFault.DOWN);
            restart(host, limits(0));
            assertTrue(acquire(host, TIMEOUT).isPresent());
        }
    }

    @Nested
    class ReservedSlots {
        /**
         * Guards against a round trip for a reserved slot that is open, and against its use without
         * contact with all members.
         */
        @Test
        void needNoMessageButContactWithAll() {
            start(3, limits(2));
            Tasks.sleep(Duration.ofMillis(300));
            List<HostId> hostsWithSlot = new ArrayList<>();
            partitionAll();
            for (HostId h : daemons.keySet()) {
                acquire(h, Duration.ZERO).filter(Slot::use).ifPresent(s -> hostsWithSlot.add(h));
            }
            assertTrue(hostsWithSlot.size() >= 2, "slots without messages at " + hostsWithSlot);
            inContactWithAll = false;
            HostId host = nonOwner();
            assertEquals(Optional.empty(), acquire(host, Duration.ZERO));
        }
    }
}
