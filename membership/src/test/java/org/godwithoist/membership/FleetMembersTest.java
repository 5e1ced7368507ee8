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
    private static final Duration ROUND = Duration.ofMillis(500);
    private static final HostId B = new HostId("b");

    private final VirtualTicker ticker = new VirtualTicker();
    private final FleetMembers members =
            new FleetMembers(member("a", 1), List.of(), MembershipConfig.DEFAULT, ticker);

    @BeforeEach
    void readOrders() {
        members.ordersRead();
    }

    private static Member member(String host, long incarnation) {
        return new Member(
                new HostId(host),
                new FailureDomainId("d"),
                new Endpoint("127.0.0.1", 1),
                incarnation);
    }

    private void list(String... hosts) {
        members.update(List.of(hosts).stream().map(h -> TestDaemon.listed(member(h, 0))).toList());
    }

    private void pass(Duration time, Runnable eachRound) {
        for (Duration t = Duration.ZERO; t.compareTo(time) < 0; t = t.plus(ROUND)) {
            ticker.advance(ROUND);
            eachRound.run();
            members.tick();
        }
    }

    private void pass(Duration time) {
        pass(time, () -> {});
    }

    private void answer(String host, long incarnation) {
        members.answered(new HostId(host), incarnation, ticker.nanos());
    }

    @Nested
    class Contact {
        /** Guards against reserved slots used after the contact time of 2 s. */
        @Test
        void endsAfterTheContactTimeAndSilenceAfterTheRemovalTime() {
            list("a", "b");
            assertFalse(members.inContactWithAll());
            answer("b", 1);
            assertTrue(members.inContactWithAll());
            pass(Duration.ofMillis(1_500));
            assertTrue(members.inContactWithAll());
            pass(ROUND);
            assertFalse(members.inContactWithAll());
            pass(Duration.ofMillis(12_500));
            assertFalse(members.isSilent(B));
            pass(ROUND);
            assertTrue(members.isSilent(B));
            assertTrue(members.inContactWithAll());
        }

        /** Guards against contact counted from the answer, which may have been on its way long. */
        @Test
        void countsFromTheRequest() {
            list("b");
            long sent = ticker.nanos();
            pass(Duration.ofMillis(1_500));
            members.answered(B, 1, sent);
            assertTrue(members.inContactWith(B));
            pass(ROUND);
            assertFalse(members.inContactWith(B));
        }

        /** Guards against a fresh daemon that knows nobody and so misses nobody. */
        @Test
        void isMissingUntilTheMembersAreKnown() {
            assertFalse(members.inContactWithAll());
            list();
            assertTrue(members.inContactWithAll());
        }

        /** Guards against work for a target that was ordered out before this daemon started. */
        @Test
        void isMissingUntilTheOrdersAreKnown() {
            FleetMembers fresh =
                    new FleetMembers(member("a", 1), List.of(), MembershipConfig.DEFAULT, ticker);
            fresh.update(List.of());
            assertFalse(fresh.inContactWithAll());
            fresh.ordersRead();
            assertTrue(fresh.inContactWithAll());
        }
    }

    @Nested
    class PausedProcess {
        /** Guards against a paused daemon that wakes up and takes all others for silent. */
        @Test
        void doesNotTakeItsOwnPauseForSilence() {
            list("b");
            answer("b", 1);
            ticker.advance(Duration.ofSeconds(60));
            assertFalse(members.inContactWithAll());
            assertFalse(members.isSilent(B));
            members.tick();
            assertFalse(members.inContactWithAll());
            assertFalse(members.isSilent(B));
        }
    }

    @Nested
    class LaggingList {
        /** Guards against losing a live member, or keeping a dead one, because the list lags. */
        @Test
        void delistedMemberStaysWhileItAnswers() {
            list("b");
            answer("b", 1);
            list();
            pass(Duration.ofSeconds(20), () -> answer("b", 1));
            assertEquals(2, members.members().size());
            pass(Duration.ofSeconds(15));
            assertEquals(1, members.members().size());
        }

        /** Guards against an old list entry that overrides what the member itself announced. */
        @Test
        void announcedEndpointCountsUntilTheMemberIsSilent() {
            Endpoint moved = new Endpoint("127.0.0.2", 2);
            list("b");
            members.announce(new Member(B, new FailureDomainId("d"), moved, 2));
            list("b");
            assertEquals(moved, members.find(B).orElseThrow().peer());
            pass(Duration.ofSeconds(15));
            list("b");
            assertEquals(member("b", 2), members.find(B).orElseThrow());
        }

        /** Guards against daemons that keep a dead member alive by telling each other of it. */
        @Test
        void unreachableMembersAreNotPassedOn() {
            list("b", "c");
            answer("b", 1);
            assertEquals(
                    List.of("a", "b"),
                    members.reachable().stream().map(m -> m.host().value()).toList());
        }
    }

    @Nested
    class RestartedMember {
        /** Guards against a stopped member that is still left out after its next start. */
        @Test
        void countsAgainAfterItLeft() {
            list("b");
            answer("b", 1);
            members.left(B);
            answer("b", 1);
            assertTrue(members.isSilent(B));
            members.announce(member("b", 2));
            assertFalse(members.isSilent(B));
            assertFalse(members.inContactWithAll());
            answer("b", 2);
            assertTrue(members.inContactWithAll());
        }

        /** Guards against a late message of an earlier run that replaces the present one. */
        @Test
        void earlierRunChangesNothing() {
            list("b");
            members.announce(member("b", 5));
            members.announce(member("b", 4));
            assertTrue(members.knows(B, 5));
            assertFalse(members.knows(B, 4));
        }
    }
}
