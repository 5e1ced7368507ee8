package org.godwithoist.membership;

import static org.godwithoist.membership.TestDaemon.await;
import static org.godwithoist.membership.TestDaemon.cutLink;
import static org.godwithoist.membership.TestDaemon.restoreLink;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.Table;
import org.godwithoist.store.fake.FakeHostList;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Three daemons in one process with real connections on loopback. */
class FleetMembershipTest {
    private static final OrderSubject DOMAIN = OrderSubject.parse("domain:a");
    private static final OperatorName ANNA = new OperatorName("anna");
    private static final OperatorName BERT = new OperatorName("bert");
    private static final TargetId ENGINE = new TargetId("e1");
    private static final MembershipConfig CONFIG =
            MembershipConfig.DEFAULT.withStoreInterval(Duration.ofMillis(300));

    private final FakeHostList hosts = new FakeHostList();
    private final FakeTableStore store = new FakeTableStore();
    private final List<TestDaemon> daemons = new ArrayList<>();

    @BeforeEach
    void startThree() {
        List<Member> members = TestDaemon.members(3);
        List<HostEntry> list =
                new ArrayList<>(members.stream().map(TestDaemon::hostListEntry).toList());
        list.add(TestDaemon.engine(1, "p", "a", HostEntry.State.LIVE));
        hosts.set(list);
        members.forEach(m -> start(m, List.of()));
        await(5_000, () -> daemons.stream().allMatch(this::isReady));
    }

    @AfterEach
    void stopAll() {
        daemons.forEach(TestDaemon::close);
    }

    private TestDaemon start(Member member, List<Member> seeds) {
        TestDaemon d = new TestDaemon(member, seeds, CONFIG, hosts, store).start();
        daemons.add(d);
        return d;
    }

    private boolean isReady(TestDaemon d) {
        var members = membersOf(d);
        return members.inContactWithAll()
                && members.members().size() == 3
                && members.members().stream().allMatch(m -> m.incarnation() > 0);
    }

    private boolean isOrderStored() {
        return store.read(Table.DOMAIN_ORDER, "domain:a").join().isPresent();
    }

    private static Optional<Order> orderAt(TestDaemon d) {
        return d.membership().orders().find(DOMAIN);
    }

    private static FleetMembers membersOf(TestDaemon d) {
        return d.membership().members();
    }

    private ServiceState stateAt(TestDaemon d) {
        return d.membership().targets().find(ENGINE).orElseThrow().serviceState();
    }

    private OrderOutcome issue(int daemon, OrderState state, OperatorName operator) {
        return daemons.get(daemon).membership().issueOrder(DOMAIN, state, operator);
    }

    @Nested
    class NormalOperation {
        /** Guards against an acknowledgement sent before the order is in force. */
        @Test
        void acknowledgedOrderIsInForceEverywhere() {
            OrderOutcome outcome = issue(0, OrderState.OUT, ANNA);
            assertEquals(List.of(), outcome.unacknowledged());
            daemons.forEach(d -> assertEquals(ServiceState.OUT_OF_SERVICE, stateAt(d)));
            await(2_000, () -> isOrderStored());
        }

        /** Guards against waiting for the removal time after a planned stop. */
        @Test
        void stoppedMemberIsNoLongerCounted() {
            daemons.get(2).membership().stop();
            HostId stopped = daemons.get(2).host();
            assertTrue(membersOf(daemons.get(0)).isUnresponsive(stopped));
            await(1_000, () -> membersOf(daemons.get(0)).inContactWithAll());
        }
    }

    @Nested
    class Partition {
        /**
         * Guards against a daemon that reports contact while it is cut off, and against orders that
         * are not delivered after the partition ends.
         */
        @Test
        void isolatedMemberIsReportedLosesContactAndCatchesUp() {
            TestDaemon isolated = daemons.get(2);
            cutLink(isolated, daemons.get(0));
            cutLink(isolated, daemons.get(1));
            OrderOutcome outcome = issue(0, OrderState.OUT, ANNA);
            assertEquals(List.of(isolated.host()), outcome.unacknowledged());
            assertEquals(ServiceState.OUT_OF_SERVICE, stateAt(daemons.get(1)));
            await(3_000, () -> !membersOf(isolated).inContactWithAll());
            assertFalse(membersOf(isolated).inContactWith(daemons.get(0).host()));
            restoreLink(isolated, daemons.get(0));
            restoreLink(isolated, daemons.get(1));
            await(3_000, () -> stateAt(isolated) == ServiceState.OUT_OF_SERVICE);
            await(3_000, () -> isReady(isolated));
        }

        /** Guards against orders that only the daemon at which they were issued sends. */
        @Test
        void orderIsForwardedByAThirdMember() {
            store.setFault(StoreFault.DOWN);
            cutLink(daemons.get(0), daemons.get(2));
            issue(0, OrderState.OUT, ANNA);
            await(2_000, () -> stateAt(daemons.get(2)) == ServiceState.OUT_OF_SERVICE);
        }
    }

    @Nested
    class StoreOutage {
        /**
         * Guards against an order that needs the store to take effect, or is not stored after an
         * outage.
         */
        @Test
        void orderIsInForceImmediatelyAndStoredAfterTheOutage() {
            store.setFault(StoreFault.DOWN);
            hosts.setFault(StoreFault.DOWN);
            await(2_000, () -> !daemons.get(0).membership().isStoreAvailable());
            OrderOutcome outcome = issue(0, OrderState.OUT, ANNA);
            assertEquals(List.of(), outcome.unacknowledged());
            daemons.forEach(d -> assertEquals(ServiceState.OUT_OF_SERVICE, stateAt(d)));
            store.setFault(StoreFault.NONE);
            await(3_000, () -> isOrderStored());
        }

        /** Guards against lost orders when all daemons restart at the same time. */
        @Test
        void ordersAreRestoredFromTheStore() {
            issue(0, OrderState.OUT, ANNA);
            await(2_000, () -> isOrderStored());
            stopAll();
            daemons.clear();
            TestDaemon newDaemon = start(TestDaemon.member(7, 1), List.of());
            await(3_000, () -> orderAt(newDaemon).isPresent());
            await(3_000, () -> newDaemon.membership().targets().version() > 0);
            // The registry contains an order shortly before the targets reflect it.
            await(1_000, () -> stateAt(newDaemon) == ServiceState.OUT_OF_SERVICE);
        }

        /** Guards against a daemon that cannot join while the host list cannot be read. */
        @Test
        void newMemberJoinsThroughOneSeed() {
            hosts.setFault(StoreFault.DOWN);
            store.setFault(StoreFault.DOWN);
            issue(1, OrderState.OUT, ANNA);
            Member seed = membersOf(daemons.get(0)).self();
            TestDaemon newDaemon = start(TestDaemon.member(9, 1), List.of(seed));
            assertFalse(membersOf(newDaemon).inContactWithAll());
            await(
                    4_000,
                    () ->
                            daemons.stream()
                                    .allMatch(d -> membersOf(d).reachableMembers().size() == 4));
            assertTrue(membersOf(newDaemon).inContactWithAll());
            assertTrue(orderAt(newDaemon).isPresent());
        }
    }

    @Nested
    class RestartedPeer {
        /**
         * Guards against a restarted daemon that is in contact before it has the orders, or never
         * gets back in contact.
         */
        @Test
        void newIncarnationIsDetectedAndReceivesTheOrders() {
            store.setFault(StoreFault.DOWN);
            issue(0, OrderState.OUT, ANNA);
            TestDaemon old = daemons.remove(2);
            Member m = membersOf(old).self();
            old.close();
            TestDaemon newDaemon =
                    start(new Member(m.host(), m.failureDomain(), m.peer(), 2), List.of());
            await(5_000, () -> membersOf(newDaemon).inContactWithAll());
            assertEquals(ServiceState.OUT_OF_SERVICE, stateAt(newDaemon));
            await(5_000, () -> isReady(newDaemon) && isReady(daemons.get(0)));
            assertEquals(
                    Optional.of(2L),
                    membersOf(daemons.get(0)).find(m.host()).map(Member::incarnation));
        }
    }

    @Nested
    class RacingOrders {
        /**
         * Guards against daemons that disagree after a race, and against an operator who is not
         * told that the order lost.
         */
        @Test
        void oneOrderWinsEverywhereAndTheOtherIsReportedAsSuperseded() {
            // Cut while both orders are issued, so that neither clock has seen the other order.
            cutLink(daemons.get(0), daemons.get(1));
            cutLink(daemons.get(0), daemons.get(2));
            cutLink(daemons.get(1), daemons.get(2));
            var first = CompletableFuture.supplyAsync(() -> issue(0, OrderState.OUT, ANNA));
            var second = CompletableFuture.supplyAsync(() -> issue(1, OrderState.IN, BERT));
            await(
                    1_000,
                    () ->
                            orderAt(daemons.get(0)).isPresent()
                                    && orderAt(daemons.get(1)).isPresent());
            for (int i = 0; i < 3; i++) {
                restoreLink(daemons.get(i), daemons.get((i + 1) % 3));
            }
            OrderOutcome loser = first.join();
            OrderOutcome winner = second.join();
            assertEquals(Optional.empty(), winner.supersededBy());
            assertEquals(Optional.of(winner.order()), loser.supersededBy());
            for (TestDaemon d : daemons) {
                await(3_000, () -> orderAt(d).equals(Optional.of(winner.order())));
            }
        }
    }
}
