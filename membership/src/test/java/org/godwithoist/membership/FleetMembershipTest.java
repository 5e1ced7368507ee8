package org.godwithoist.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.platform.HostEntry;
import org.godwithoist.platform.Table;
import org.godwithoist.platform.fake.FakeHostList;
import org.godwithoist.platform.fake.FakeTableStore;
import org.godwithoist.platform.fake.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Daemons of one process with real connections on loopback. */
class FleetMembershipTest {
    private static final OrderSubject DOMAIN = OrderSubject.parse("domain:a");
    private static final OperatorName ANNA = new OperatorName("anna");
    private static final OperatorName BERT = new OperatorName("bert");
    private static final TargetId ENGINE = new TargetId("e1");
    private static final MembershipConfig CONFIG =
            MembershipConfig.DEFAULT.withStoreInterval(Duration.ofMillis(300));

    private final FakeHostList hosts = new FakeHostList();
    private final FakeTableStore store = new FakeTableStore();
    private final List<TestDaemon> all = new ArrayList<>();

    @BeforeEach
    void startThree() {
        List<Member> members = TestDaemon.members(3);
        List<HostEntry> list = new ArrayList<>(members.stream().map(TestDaemon::listed).toList());
        list.add(
                new HostEntry(
                        new HostId("t1"),
                        HostEntry.Kind.ENGINE,
                        Optional.of(ENGINE),
                        Optional.of(new PoolId("p")),
                        new FailureDomainId("a"),
                        new Endpoint("127.0.0.1", 9),
                        HostEntry.State.LIVE));
        hosts.set(list);
        members.forEach(m -> start(m, List.of()));
        assertTrue(TestDaemon.within(5_000, () -> all.stream().allMatch(this::ready)));
    }

    @AfterEach
    void stopAll() {
        all.forEach(TestDaemon::close);
    }

    private TestDaemon start(Member member, List<Member> seeds) {
        TestDaemon d = new TestDaemon(member, seeds, CONFIG, hosts, store).start();
        all.add(d);
        return d;
    }

    private boolean ready(TestDaemon d) {
        var members = d.membership().members();
        return members.inContactWithAll()
                && members.members().size() == 3
                && members.members().stream().allMatch(m -> m.incarnation() > 0);
    }

    private ServiceState stateAt(TestDaemon d) {
        return d.membership().targets().find(ENGINE).orElseThrow().service();
    }

    private OrderOutcome give(int daemon, OrderState state, OperatorName operator) {
        return all.get(daemon).membership().give(DOMAIN, state, operator);
    }

    @Nested
    class Undisturbed {
        /** Guards against an acknowledgement that is given before the order is in force. */
        @Test
        void acknowledgedOrderIsInForceEverywhere() {
            OrderOutcome outcome = give(0, OrderState.OUT, ANNA);
            assertEquals(List.of(), outcome.unacknowledged());
            all.forEach(d -> assertEquals(ServiceState.OUT, stateAt(d)));
            assertTrue(
                    TestDaemon.within(
                            2_000,
                            () -> store.read(Table.DOMAIN_ORDER, "domain:a").join().isPresent()));
        }

        /** Guards against waiting for the removal time after a planned stop. */
        @Test
        void stoppedMemberStopsCounting() {
            all.get(2).membership().stop();
            HostId gone = all.get(2).host();
            assertTrue(all.get(0).membership().members().isSilent(gone));
            assertTrue(
                    TestDaemon.within(
                            1_000, () -> all.get(0).membership().members().inContactWithAll()));
        }
    }

    @Nested
    class Partition {
        /**
         * Guards against a daemon that believes it is in contact while cut off, and against orders
         * that a healed partition does not deliver.
         */
        @Test
        void cutMemberIsNamedLosesContactAndCatchesUp() {
            TestDaemon far = all.get(2);
            TestDaemon.cut(far, all.get(0));
            TestDaemon.cut(far, all.get(1));
            OrderOutcome outcome = give(0, OrderState.OUT, ANNA);
            assertEquals(List.of(far.host()), outcome.unacknowledged());
            assertEquals(ServiceState.OUT, stateAt(all.get(1)));
            assertTrue(
                    TestDaemon.within(3_000, () -> !far.membership().members().inContactWithAll()));
            assertFalse(far.membership().members().inContactWith(all.get(0).host()));
            TestDaemon.heal(far, all.get(0));
            TestDaemon.heal(far, all.get(1));
            assertTrue(TestDaemon.within(3_000, () -> stateAt(far) == ServiceState.OUT));
            assertTrue(TestDaemon.within(3_000, () -> ready(far)));
        }

        /** Guards against orders that travel only from the daemon at which they were given. */
        @Test
        void orderTravelsThroughAThirdMember() {
            store.setFault(StoreFault.DOWN);
            TestDaemon.cut(all.get(0), all.get(2));
            give(0, OrderState.OUT, ANNA);
            assertTrue(TestDaemon.within(2_000, () -> stateAt(all.get(2)) == ServiceState.OUT));
        }
    }

    @Nested
    class StoreOutage {
        /** Guards against an order that needs the store, or never reaches it after an outage. */
        @Test
        void orderIsInForceAtOnceAndWrittenAfterTheOutage() {
            store.setFault(StoreFault.DOWN);
            hosts.setFault(StoreFault.DOWN);
            assertTrue(TestDaemon.within(2_000, () -> !all.get(0).membership().storeAnswers()));
            OrderOutcome outcome = give(0, OrderState.OUT, ANNA);
            assertEquals(List.of(), outcome.unacknowledged());
            all.forEach(d -> assertEquals(ServiceState.OUT, stateAt(d)));
            store.setFault(StoreFault.NONE);
            assertTrue(
                    TestDaemon.within(
                            3_000,
                            () -> store.read(Table.DOMAIN_ORDER, "domain:a").join().isPresent()));
        }

        /** Guards against a fleet that forgets its orders when all daemons restart at once. */
        @Test
        void orderComesBackFromTheStore() {
            give(0, OrderState.OUT, ANNA);
            assertTrue(
                    TestDaemon.within(
                            2_000,
                            () -> store.read(Table.DOMAIN_ORDER, "domain:a").join().isPresent()));
            stopAll();
            all.clear();
            TestDaemon fresh = start(TestDaemon.member(7, 1), List.of());
            assertTrue(
                    TestDaemon.within(
                            3_000,
                            () ->
                                    fresh.membership()
                                            .targets()
                                            .find(ENGINE)
                                            .filter(t -> t.service() == ServiceState.OUT)
                                            .isPresent()));
        }

        /** Guards against a daemon that cannot join while the host list cannot be read. */
        @Test
        void newMemberJoinsThroughOneSeed() {
            hosts.setFault(StoreFault.DOWN);
            store.setFault(StoreFault.DOWN);
            give(1, OrderState.OUT, ANNA);
            Member seed = all.get(0).membership().members().self();
            TestDaemon fresh = start(TestDaemon.member(9, 1), List.of(seed));
            assertFalse(fresh.membership().members().inContactWithAll());
            assertTrue(
                    TestDaemon.within(
                            4_000,
                            () ->
                                    all.stream()
                                            .allMatch(
                                                    d ->
                                                            d.membership()
                                                                            .members()
                                                                            .reachable()
                                                                            .size()
                                                                    == 4)));
            assertTrue(fresh.membership().members().inContactWithAll());
            assertTrue(fresh.membership().orders().find(DOMAIN).isPresent());
        }
    }

    @Nested
    class RestartedPeer {
        /**
         * Guards against a restarted daemon that is in contact before it has the orders, or that
         * stays without contact.
         */
        @Test
        void newRunIsRecognisedAndGetsTheOrders() {
            store.setFault(StoreFault.DOWN);
            give(0, OrderState.OUT, ANNA);
            TestDaemon old = all.remove(2);
            Member m = old.membership().members().self();
            old.close();
            TestDaemon fresh =
                    start(new Member(m.host(), m.failureDomain(), m.peer(), 2), List.of());
            assertTrue(
                    TestDaemon.within(
                            5_000, () -> fresh.membership().members().inContactWithAll()));
            assertEquals(ServiceState.OUT, stateAt(fresh));
            assertTrue(TestDaemon.within(5_000, () -> ready(fresh) && ready(all.get(0))));
            assertEquals(
                    Optional.of(2L),
                    all.get(0).membership().members().find(m.host()).map(Member::incarnation));
        }
    }

    @Nested
    class RacingOrders {
        /** Guards against daemons that disagree after a race, and a loser who is not told. */
        @Test
        void oneOrderWinsEverywhereAndTheLoserIsTold() {
            // Cut while both orders are given, so that neither clock has seen the other order.
            TestDaemon.cut(all.get(0), all.get(1));
            TestDaemon.cut(all.get(0), all.get(2));
            TestDaemon.cut(all.get(1), all.get(2));
            var first = CompletableFuture.supplyAsync(() -> give(0, OrderState.OUT, ANNA));
            var second = CompletableFuture.supplyAsync(() -> give(1, OrderState.IN, BERT));
            assertTrue(
                    TestDaemon.within(
                            1_000,
                            () ->
                                    all.get(0).membership().orders().find(DOMAIN).isPresent()
                                            && all.get(1)
                                                    .membership()
                                                    .orders()
                                                    .find(DOMAIN)
                                                    .isPresent()));
            for (int i = 0; i < 3; i++) {
                TestDaemon.heal(all.get(i), all.get((i + 1) % 3));
            }
            OrderOutcome loser = first.join();
            OrderOutcome winner = second.join();
            assertEquals(Optional.empty(), winner.supersededBy());
            assertEquals(Optional.of(winner.order()), loser.supersededBy());
            for (TestDaemon d : all) {
                assertTrue(
                        TestDaemon.within(
                                3_000,
                                () ->
                                        d.membership()
                                                .orders()
                                                .find(DOMAIN)
                                                .equals(Optional.of(winner.order()))));
            }
        }
    }
}
