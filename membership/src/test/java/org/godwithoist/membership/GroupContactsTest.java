package org.godwithoist.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Contact with members of other groups, in virtual time, without messages. */
class GroupContactsTest {
    private static final int GROUP_SIZE = 4;
    private static final Duration CONTACT_TIME = Duration.ofMillis(2_500);
    private static final MembershipConfig CONFIG =
            MembershipConfig.DEFAULT.withMaxMeanGroupSize(GROUP_SIZE);

    private final VirtualTicker ticker = new VirtualTicker();
    private final List<Member> all =
            IntStream.range(0, 2 * GROUP_SIZE).mapToObj(n -> TestDaemon.member(n, 1)).toList();

    /**
     * Members as this daemon knows them; {@code remote} are those of a daemon of the other group.
     */
    private final FleetMembers local = directory(all.getFirst(), all);

    private final List<Member> remoteGroup =
            all.stream().filter(m -> !group(m).equals(local.layout().ownGroup())).toList();
    private final FleetMembers remote = directory(remoteGroup.getFirst(), all);
    private final HostId lastRemote = remoteGroup.getLast().host();

    private FleetMembers directory(Member self, List<Member> known) {
        FleetMembers m = new FleetMembers(self, known, CONFIG, ticker);
        m.updateHostList(known.stream().map(TestDaemon::hostListEntry).toList());
        m.markOrdersKnown();
        m.tick();
        return m;
    }

    private GroupId group(Member m) {
        return local.layout().groupOf(m.host());
    }

    private static BitSet allGroups() {
        BitSet all = new BitSet();
        all.set(0, 64);
        return all;
    }

    private static List<GroupSummary> summaries(FleetMembers from) {
        return from.summaries(from.layout().count(), allGroups(), g -> true);
    }

    private static void applySummaries(FleetMembers to, FleetMembers from, long sentAt) {
        to.applySummaries(from.layout().count(), summaries(from), sentAt);
    }

    private void advance(long millis) {
        for (long t = 0; t < millis; t += 100) {
            ticker.advance(Duration.ofMillis(100));
            local.tick();
            remote.tick();
        }
    }

    private void remoteGroupResponds() {
        remoteGroup.forEach(m -> remote.recordResponse(m.host(), 1, ticker.nanos()));
    }

    private void localGroupResponds() {
        all.stream()
                .filter(m -> !remoteGroup.contains(m))
                .forEach(m -> local.recordResponse(m.host(), 1, ticker.nanos()));
    }

    /** Returns another member of the group of this daemon. */
    private Member otherLocalMember() {
        return all.stream()
                .filter(m -> !remoteGroup.contains(m) && !m.equals(all.getFirst()))
                .findFirst()
                .orElseThrow();
    }

    @Nested
    class NormalOperation {
        /** Guards against members of other groups that never count as in contact. */
        @Test
        void summaryGivesContactWithAllMembersOfTheGroup() {
            remoteGroupResponds();
            localGroupResponds();
            assertFalse(local.inContactWithAll());
            applySummaries(local, remote, ticker.nanos());
            assertTrue(local.inContactWithAll());
            advance(CONTACT_TIME.toMillis());
            assertFalse(local.inContactWith(lastRemote));
        }
    }

    @Nested
    class DelayedResponse {
        /** Guards against a summary whose age counts from its arrival. */
        @Test
        void countsFromTheRequestMinusTheAge() {
            long sent = ticker.nanos();
            remoteGroupResponds();
            advance(1_500);
            List<GroupSummary> late = summaries(remote);
            advance(1_000);
            local.applySummaries(local.layout().count(), late, sent);
            assertFalse(local.inContactWith(lastRemote));
            local.applySummaries(local.layout().count(), late, ticker.nanos());
            assertTrue(local.inContactWith(lastRemote));
            advance(1_000);
            assertFalse(local.inContactWith(lastRemote));
        }

        /** Guards against contact that daemons prolong by passing old summaries to each other. */
        @Test
        void forwardedSummariesKeepAging() {
            remoteGroupResponds();
            applySummaries(local, remote, ticker.nanos());
            FleetMembers next = directory(otherLocalMember(), all);
            for (long t = 0; t < CONTACT_TIME.toMillis(); t += 100) {
                advance(100);
                next.tick();
                applySummaries(next, local, ticker.nanos());
                applySummaries(local, next, ticker.nanos());
            }
            assertFalse(local.inContactWith(lastRemote));
            assertFalse(next.inContactWith(lastRemote));
        }
    }

    @Nested
    class LinkPartner {
        /**
         * Guards against members that a summary covers but that are forwarded as absent, because
         * the response of the partner on the link is newer than what its summary states about the
         * others. Rounds have fixed intervals, so the group stayed out of contact permanently.
         */
        @Test
        void membersThatItsSummaryCoversAreForwarded() {
            remoteGroupResponds();
            advance(900);
            long sent = ticker.nanos();
            local.recordResponse(remoteGroup.getFirst().host(), 1, sent);
            applySummaries(local, remote, sent);
            FleetMembers next = directory(otherLocalMember(), all);
            applySummaries(next, local, ticker.nanos());
            remoteGroup.forEach(m -> assertTrue(next.inContactWith(m.host()), m.toString()));
        }
    }

    @Nested
    class CutOffMember {
        /**
         * Guards against a cut off member that counts as in contact with its group, or that ends
         * the contact with the group.
         */
        @Test
        void isListedAsAbsentWhileTheOthersStayInContact() {
            remoteGroupResponds();
            advance(1_700);
            remoteGroup.stream()
                    .filter(m -> !m.host().equals(lastRemote))
                    .forEach(m -> remote.recordResponse(m.host(), 1, ticker.nanos()));
            applySummaries(local, remote, ticker.nanos());
            assertFalse(local.inContactWith(lastRemote));
            assertTrue(local.inContactWith(remoteGroup.get(1).host()));
            localGroupResponds();
            assertFalse(local.inContactWithAll());
        }

        /** Guards against waiting for the removal time after a planned stop in another group. */
        @Test
        void thatLeftIsUnresponsiveImmediatelyAndIsCountedAgainAfterItsRestart() {
            remoteGroupResponds();
            applySummaries(local, remote, ticker.nanos());
            advance(500);
            remote.recordDeparture(lastRemote);
            applySummaries(local, remote, ticker.nanos());
            assertTrue(local.isUnresponsive(lastRemote));
            advance(3_000);
            remote.recordAnnouncement(
                    new Member(
                            lastRemote,
                            all.getFirst().failureDomain(),
                            remoteGroup.getLast().peer(),
                            2));
            remote.recordResponse(lastRemote, 2, ticker.nanos());
            applySummaries(local, remote, ticker.nanos());
            assertFalse(local.isUnresponsive(lastRemote));
            assertTrue(local.inContactWith(lastRemote));
        }
    }

    @Nested
    class Disagreement {
        /** Guards against contact with a member that the sender of the summary does not know. */
        @Test
        void memberKnownToSomeOnlyIsNotCovered() {
            List<Member> fewer = all.stream().filter(m -> !m.host().equals(lastRemote)).toList();
            FleetMembers incomplete = directory(remoteGroup.getFirst(), fewer);
            fewer.forEach(m -> incomplete.recordResponse(m.host(), 1, ticker.nanos()));
            assertEquals(local.layout().count(), incomplete.layout().count());
            applySummaries(local, incomplete, ticker.nanos());
            assertFalse(local.inContactWith(lastRemote));
            remoteGroupResponds();
            applySummaries(local, remote, ticker.nanos());
            advance(500);
            fewer.forEach(m -> incomplete.recordResponse(m.host(), 1, ticker.nanos()));
            applySummaries(local, incomplete, ticker.nanos());
            advance(2_000);
            assertFalse(local.inContactWith(lastRemote));
        }

        /** Guards against summaries of groups that have the same number and other members. */
        @Test
        void otherNumberOfGroupsIsIgnored() {
            remoteGroupResponds();
            local.applySummaries(2 * local.layout().count(), summaries(remote), ticker.nanos());
            assertFalse(local.inContactWith(lastRemote));
            assertEquals(List.of(), remote.summaries(1, allGroups(), g -> true));
        }
    }

    @Nested
    class CutLinks {
        /**
         * Guards against groups that stay without contact although other members could reach each
         * other.
         */
        @Test
        void nextMembersAddLinks() {
            List<FleetMembers> localGroup =
                    all.stream()
                            .filter(m -> !remoteGroup.contains(m))
                            .map(m -> directory(m, all))
                            .toList();
            int before = localGroup.stream().mapToInt(m -> linksOf(m)).sum();
            for (int t = 0; t < 21; t++) {
                ticker.advance(Duration.ofMillis(100));
                localGroup.forEach(FleetMembers::tick);
                localGroup.forEach(FleetMembers::exchangePartners);
            }
            assertEquals(GroupLayout.LINKS_PER_GROUP_PAIR, before);
            assertTrue(localGroup.stream().mapToInt(m -> linksOf(m)).sum() > before);
        }

        private int linksOf(FleetMembers m) {
            return (int)
                    m.exchangePartners().stream()
                            .filter(h -> !m.layout().groupOf(h).equals(m.layout().ownGroup()))
                            .count();
        }
    }

    /**
     * Guards against delayed, reordered and forwarded responses that prolong contact with a stopped
     * member.
     */
    @Property(seed = "20261204", tries = 300)
    void noMemberIsInContactLongerThanTheContactTimeAfterItStopped(@ForAll long seed) {
        Random random = new Random(seed);
        Map<HostId, FleetMembers> daemons = new HashMap<>();
        all.forEach(m -> daemons.put(m.host(), directory(m, all)));
        HostId dead = all.get(random.nextInt(all.size())).host();
        HostId paused = all.get(random.nextInt(all.size())).host();
        long stop = Duration.ofMillis(1_000 + random.nextInt(2_000)).toNanos();
        long end = stop + Duration.ofSeconds(5).toNanos();
        List<Runnable> delayed = new ArrayList<>();
        while (ticker.nanos() < end) {
            ticker.advance(Duration.ofMillis(10 + random.nextInt(40)));
            boolean stopped = ticker.nanos() >= stop;
            for (var e : daemons.entrySet()) {
                boolean runs = !e.getKey().equals(paused) || random.nextInt(100) == 0;
                if (runs && !(stopped && e.getKey().equals(dead))) {
                    e.getValue().tick();
                    FleetMembers requester = e.getValue();
                    HostId peer = all.get(random.nextInt(all.size())).host();
                    if (!(stopped && peer.equals(dead)) && !peer.equals(e.getKey())) {
                        long sent = ticker.nanos() - random.nextInt(300) * 1_000_000L;
                        List<GroupSummary> response = summaries(daemons.get(peer));
                        delayed.add(
                                () -> {
                                    requester.recordResponse(peer, 1, sent);
                                    requester.applySummaries(
                                            requester.layout().count(), response, sent);
                                });
                    }
                }
                if (stopped
                        && !e.getKey().equals(dead)
                        && ticker.nanos() - stop >= CONTACT_TIME.toNanos()) {
                    assertFalse(e.getValue().inContactWith(dead));
                }
            }
            while (!delayed.isEmpty() && random.nextInt(4) > 0) {
                delayed.remove(random.nextInt(delayed.size())).run();
            }
        }
    }
}
