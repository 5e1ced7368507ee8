package org.godwithoist.membership;

import static org.godwithoist.membership.TestDaemon.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.store.fake.FakeHostList;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Daemons of two groups in one process with real connections on loopback; the store is down. */
class FleetGroupsTest {
    private static final OrderSubject DOMAIN = OrderSubject.parse("domain:a");
    private static final OperatorName ANNA = new OperatorName("anna");
    private static final int DAEMON_COUNT = 8;

    private final FakeHostList hosts = new FakeHostList();
    private final FakeTableStore store = new FakeTableStore();
    private final List<TestDaemon> daemons = new ArrayList<>();
    private List<TestDaemon> ownGroup;
    private List<TestDaemon> otherGroup;

    @BeforeEach
    void startTwoGroups() {
        List<Member> members = TestDaemon.members(DAEMON_COUNT);
        hosts.set(members.stream().map(TestDaemon::hostListEntry).toList());
        MembershipConfig config = MembershipConfig.DEFAULT.withMaxMeanGroupSize(DAEMON_COUNT / 2);
        members.forEach(m -> daemons.add(new TestDaemon(m, List.of(), config, hosts, store)));
        daemons.forEach(TestDaemon::start);
        await(20_000, () -> daemons.stream().allMatch(d -> membersOf(d).inContactWithAll()));
        store.setFault(StoreFault.DOWN);
        GroupLayout layout = membersOf(daemons.getFirst()).layout();
        ownGroup =
                daemons.stream()
                        .filter(d -> layout.groupOf(d.host()).equals(layout.ownGroup()))
                        .toList();
        otherGroup = daemons.stream().filter(d -> !ownGroup.contains(d)).toList();
        assertEquals(2, layout.count());
        assertFalse(otherGroup.isEmpty());
    }

    @AfterEach
    void stopAll() {
        daemons.forEach(TestDaemon::close);
    }

    private static FleetMembers membersOf(TestDaemon d) {
        return d.membership().members();
    }

    private static boolean holdsOrder(TestDaemon d) {
        return d.membership().orders().find(DOMAIN).isPresent();
    }

    private void forEachPairAcrossGroups(BiConsumer<TestDaemon, TestDaemon> change) {
        ownGroup.forEach(a -> otherGroup.forEach(b -> change.accept(a, b)));
    }

    @Nested
    class NormalOperation {
        /**
         * Guards against an order that does not leave its group, or is confirmed before the other
         * group has it.
         */
        @Test
        void confirmedOrderIsInForceInBothGroups() {
            OrderOutcome outcome =
                    ownGroup.getFirst().membership().issueOrder(DOMAIN, OrderState.OUT, ANNA);
            if (outcome.unacknowledged().isEmpty() && outcome.unconfirmed().isEmpty()) {
                daemons.forEach(d -> assertTrue(holdsOrder(d)));
            }
            await(5_000, () -> daemons.stream().allMatch(FleetGroupsTest::holdsOrder));
            await(
                    5_000,
                    () ->
                            otherGroup.stream()
                                    .allMatch(
                                            d ->
                                                    ownGroup.getFirst()
                                                            .membership()
                                                            .rounds()
                                                            .holdsSameOrders(d.host())));
        }
    }

    @Nested
    class AllLinksCut {
        /**
         * Guards against a group that counts as in contact after all links to it are cut, against
         * an order that is reported as confirmed there, and against one that is not delivered
         * afterwards.
         */
        @Test
        void otherGroupIsReportedLosesContactAndCatchesUp() {
            forEachPairAcrossGroups(TestDaemon::cutLink);
            OrderOutcome outcome =
                    ownGroup.getFirst().membership().issueOrder(DOMAIN, OrderState.OUT, ANNA);
            assertEquals(
                    List.of(membersOf(otherGroup.getFirst()).layout().ownGroup()),
                    outcome.unconfirmed());
            await(3_000, () -> daemons.stream().noneMatch(d -> membersOf(d).inContactWithAll()));
            assertTrue(otherGroup.stream().noneMatch(FleetGroupsTest::holdsOrder));
            forEachPairAcrossGroups(TestDaemon::restoreLink);
            await(10_000, () -> daemons.stream().allMatch(FleetGroupsTest::holdsOrder));
            await(10_000, () -> daemons.stream().allMatch(d -> membersOf(d).inContactWithAll()));
        }
    }

    @Nested
    class PausedLinkMember {
        /**
         * Guards against groups that lose contact because one member with a link does not respond.
         */
        @Test
        void otherLinksKeepContactAndDeliverOrders() {
            TestDaemon paused =
                    otherGroup.stream()
                            .filter(
                                    d ->
                                            membersOf(d).exchangePartners().size()
                                                    >= otherGroup.size())
                            .findFirst()
                            .orElseThrow();
            daemons.stream()
                    .filter(d -> !d.equals(paused))
                    .forEach(d -> TestDaemon.cutLink(d, paused));
            List<TestDaemon> rest = otherGroup.stream().filter(d -> !d.equals(paused)).toList();
            ownGroup.getFirst().membership().issueOrder(DOMAIN, OrderState.OUT, ANNA);
            await(5_000, () -> rest.stream().allMatch(FleetGroupsTest::holdsOrder));
            await(
                    5_000,
                    () ->
                            !membersOf(ownGroup.getFirst()).inContactWith(paused.host())
                                    && rest.stream()
                                            .allMatch(
                                                    d ->
                                                            membersOf(ownGroup.getFirst())
                                                                    .inContactWith(d.host())));
            assertFalse(membersOf(ownGroup.getFirst()).inContactWithAll());
        }
    }

    @Nested
    class NewlyJoinedMember {
        /**
         * Guards against an order issued at a member that its group does not know, which would not
         * be sent on.
         */
        @Test
        void rejectsOrdersBeforeItsGroupHasResponded() {
            TestDaemon first = daemons.removeFirst();
            Member m = membersOf(first).self();
            first.close();
            List<Member> known = daemons.stream().map(d -> membersOf(d).self()).toList();
            MembershipConfig config =
                    MembershipConfig.DEFAULT.withMaxMeanGroupSize(DAEMON_COUNT / 2);
            Member next = new Member(m.host(), m.failureDomain(), m.peer(), 2);
            TestDaemon newDaemon = new TestDaemon(next, known, config, hosts, store);
            daemons.addFirst(newDaemon);
            try {
                newDaemon.membership().issueOrder(DOMAIN, OrderState.OUT, ANNA);
                throw new AssertionError(
                        "the order was accepted although the group has not responded");
            } catch (RequestException e) {
                assertFalse(holdsOrder(newDaemon));
            }
            newDaemon.start();
            await(10_000, () -> membersOf(newDaemon).isKnownToGroup());
            newDaemon.membership().issueOrder(DOMAIN, OrderState.OUT, ANNA);
            await(10_000, () -> daemons.stream().allMatch(FleetGroupsTest::holdsOrder));
        }
    }
}
