package org.godwithoist.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.targets.PeerLoads;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link ExchangePlan}. */
final class ExchangePlanTest {
    private final Set<HostId> unresponsive = new HashSet<>();
    private final Set<HostId> recentlyActive = new HashSet<>();

    private static Member member(int number, int domains) {
        return new Member(
                new HostId("edge-" + (100 + number)),
                new FailureDomainId("domain-" + number % domains),
                new Endpoint("10.0.0.1", 7000 + number));
    }

    private static List<Member> fleet(int size) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(member(i, 3));
        }
        return all;
    }

    private ExchangePlan plan(List<Member> fleet, int self) {
        List<Member> others = new ArrayList<>(fleet);
        Member me = others.remove(self);
        return ExchangePlan.of(me, others, unresponsive::contains, recentlyActive::contains);
    }

    @Nested
    final class SmallFleet {
        /** Guards against daemons that receive no reports because a small fleet has no leader. */
        @Test
        void eachReportsItsOwnRequestsToAllOthers() {
            ExchangePlan plan = plan(fleet(8), 3);
            assertEquals(7, plan.receivers().size());
            assertEquals(Set.of(PeerLoads.Scope.OWN), Set.copyOf(plan.receivers().values()));
        }
    }

    @Nested
    final class LargeFleet {
        /** Guards against a number of messages that grows with the square of the fleet size. */
        @Test
        void numberOfMessagesGrowsLinearly() {
            for (int size : List.of(30, 72, 300)) {
                int messages = 0;
                for (int i = 0; i < size; i++) {
                    messages += plan(fleet(size), i).receivers().size();
                }
                assertTrue(messages <= 2 * size + 12, size + " daemons: " + messages);
            }
        }

        /** Guards against a daemon that receives no report of the fleet's requests. */
        @Test
        void daemonWithTheLowestIdLeadsItsDomain() {
            List<Member> fleet = fleet(72);
            ExchangePlan leader = plan(fleet, 0);
            assertTrue(leader.isLeader());
            assertEquals(PeerLoads.Scope.FLEET, leader.receivers().get(fleet.get(3).host()));
            assertEquals(PeerLoads.Scope.DOMAIN, leader.receivers().get(fleet.get(1).host()));
            ExchangePlan member = plan(fleet, 69);
            assertFalse(member.isLeader());
            assertEquals(Map.of(fleet.get(0).host(), PeerLoads.Scope.OWN), member.receivers());
        }

        /**
         * Scenario: hosts are killed ({@code node_kill}). Guards against a domain without a leader.
         */
        @Test
        void nextDaemonLeadsWhileTheLeaderIsUnresponsive() {
            List<Member> fleet = fleet(72);
            unresponsive.add(fleet.get(0).host());
            assertTrue(plan(fleet, 3).isLeader());
            assertEquals(
                    Map.of(fleet.get(3).host(), PeerLoads.Scope.OWN), plan(fleet, 6).receivers());
        }

        /**
         * Guards against a leader that receives no reports from other domains because many daemons
         * of its own domain have lower ids.
         */
        @Test
        void recentlyActiveLeaderReceivesTheReportsOfOtherDomains() {
            List<Member> fleet = fleet(72);
            recentlyActive.add(fleet.get(70).host());
            assertEquals(
                    PeerLoads.Scope.DOMAIN, plan(fleet, 0).receivers().get(fleet.get(70).host()));
        }
    }
}
