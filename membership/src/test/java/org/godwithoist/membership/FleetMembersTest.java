package org.godwithoist.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetMembersTest {
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(500);
    private static final HostId B = new HostId("b");

    private final VirtualTicker ticker = new VirtualTicker();
    private final FleetMembers members =
            new FleetMembers(member("a", 1), List.of(), MembershipConfig.DEFAULT, ticker);

    @BeforeEach
    void readOrders() {
        members.markOrdersKnown();
    }

    private static Member member(String host, long incarnation) {
        return new Member(
                new HostId(host),
                new FailureDomainId("d"),
                new Endpoint("127.0.0.1", 1),
                incarnation);
    }

    private void listHosts(String... hosts) {
        members.updateHostList(
                List.of(hosts).stream().map(h -> TestDaemon.hostListEntry(member(h, 0))).toList());
    }

    private void advance(Duration time, Runnable eachRound) {
        for (Duration t = Duration.ZERO; t.compareTo(time) < 0; t = t.plus(ROUND_INTERVAL)) {
            ticker.advance(ROUND_INTERVAL);
            eachRound.run();
            members.tick();
        }
    }

    private void advance(Duration time) {
        advance(time, () -> {});
    }

    private void respond(String host, long incarnation) {
        members.recordResponse(new HostId(host), incarnation, ticker.nanos());
    }

    @Nested
    class Contact {
        /** Guards against the use of reserved slots after the contact time of 2 s. */
        @Test
        void endsAfterTheContactTimeAndMemberIsUnresponsiveAfterTheRemovalTime() {
            listHosts("a", "b");
            assertFalse(members.inContactWithAll());
            respond("b", 1);
            assertTrue(members.inContactWithAll());
            advance(Duration.ofMillis(1_500));
            assertTrue(members.inContactWithAll());
            advance(ROUND_INTERVAL);
            assertFalse(members.inContactWithAll());
            advance(Duration.ofMillis(12_500));
            assertFalse(members.isUnresponsive(B));
            advance(ROUND_INTERVAL);
            assertTrue(members.isUnresponsive(B));
            assertTrue(members.inContactWithAll());
        }

        /** Guards against contact that counts from a response, which may have been delayed. */
        @Test
        void countsFromTheRequest() {
            listHosts("b");
            long sent = ticker.nanos();
            advance(Duration.ofMillis(1_500));
            members.recordResponse(B, 1, sent);
            assertTrue(members.inContactWith(B));
            advance(ROUND_INTERVAL);
            assertFalse(members.inContactWith(B));
        }

        /**
         * Guards against a newly started daemon that reports contact because it knows no members.
         */
        @Test
        void isNotReportedUntilTheMembersAreKnown() {
            assertFalse(members.inContactWithAll());
            listHosts();
            assertTrue(members.inContactWithAll());
        }

        /**
         * Guards against new work for a target that was ordered out of service before this daemon
         * started.
         */
        @Test
        void isNotReportedUntilTheOrdersAreKnown() {
            FleetMembers newDaemon =
                    new FleetMembers(member("a", 1), List.of(), MembershipConfig.DEFAULT, ticker);
            newDaemon.updateHostList(List.of());
            assertFalse(newDaemon.inContactWithAll());
            newDaemon.markOrdersKnown();
            assertTrue(newDaemon.inContactWithAll());
        }
    }

    @Nested
    class PausedProcess {
        /** Guards against a daemon that treats all members as unresponsive after its own pause. */
        @Test
        void doesNotTreatMembersAsUnresponsiveAfterItsOwnPause() {
            listHosts("b");
            respond("b", 1);
            ticker.advance(Duration.ofSeconds(60));
            assertFalse(members.inContactWithAll());
            assertFalse(members.isUnresponsive(B));
            members.tick();
            assertFalse(members.inContactWithAll());
            assertFalse(members.isUnresponsive(B));
        }
    }

    @Nested
    class LaggingList {
        /** Guards against a removed live member, or a retained dead one, while the list lags. */
        @Test
        void delistedMemberStaysWhileItResponds() {
            listHosts("b");
            respond("b", 1);
            listHosts();
            advance(Duration.ofSeconds(20), () -> respond("b", 1));
            assertEquals(2, members.members().size());
            advance(Duration.ofSeconds(15));
            assertEquals(1, members.members().size());
        }

        /**
         * Guards against an old list entry that replaces the endpoint that the member announced.
         */
        @Test
        void announcedEndpointIsUsedUntilTheMemberIsUnresponsive() {
            Endpoint moved = new Endpoint("127.0.0.2", 2);
            listHosts("b");
            members.recordAnnouncement(new Member(B, new FailureDomainId("d"), moved, 2));
            listHosts("b");
            assertEquals(moved, members.find(B).orElseThrow().peer());
            advance(Duration.ofSeconds(15));
            listHosts("b");
            assertEquals(member("b", 2), members.find(B).orElseThrow());
        }

        /** Guards against daemons that keep a dead member by passing it on to each other. */
        @Test
        void unreachableMembersAreNotPassedOn() {
            listHosts("b", "c");
            respond("b", 1);
            assertEquals(
                    List.of("a", "b"),
                    members.reachableMembers().stream().map(m -> m.host().value()).toList());
        }
    }

    @Nested
    class RestartedMember {
        /** Guards against a stopped member that is still ignored after its next start. */
        @Test
        void isCountedAgainAfterItLeft() {
            listHosts("b");
            respond("b", 1);
            members.recordDeparture(B);
            respond("b", 1);
            assertTrue(members.isUnresponsive(B));
            members.recordAnnouncement(member("b", 2));
            assertFalse(members.isUnresponsive(B));
            assertFalse(members.inContactWithAll());
            respond("b", 2);
            assertTrue(members.inContactWithAll());
        }

        /**
         * Guards against a delayed message of an earlier incarnation that replaces the current one.
         */
        @Test
        void earlierIncarnationHasNoEffect() {
            listHosts("b");
            members.recordAnnouncement(member("b", 5));
            members.recordAnnouncement(member("b", 4));
            assertTrue(members.knowsIncarnation(B, 5));
            assertFalse(members.knowsIncarnation(B, 4));
        }
    }
}
