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
    private static final int SIZE = 4;
    private static final Duration CONTACT = Duration.ofMillis(2_500);
    private static final MembershipConfig CONFIG =
            MembershipConfig.DEFAULT.withMaxMeanGroupSize(SIZE);

    private final VirtualTicker ticker = new VirtualTicker();
    private final List<Member> all =
            IntStream.range(0, 2 * SIZE).mapToObj(n -> TestDaemon.member(n, 1)).toList();

    /** This daemon, a member of another group, and a further member of that group. */
    private final FleetMembers here = directory(all.getFirst(), all);

    private final List<Member> far =
            all.stream().filter(m -> !group(m).equals(here.layout().ownGroup())).toList();
    private final FleetMembers there = directory(far.getFirst(), all);
    private final HostId last = far.getLast().host();

    private FleetMembers directory(Member self, List<Member> known) {
        FleetMembers m = new FleetMembers(self, known, CONFIG, ticker);
        m.updateHostList(known.stream().map(TestDaemon::listEntry).toList());
        m.markOrdersKnown();
        m.tick();
        return m;
    }

    private GroupId group(Member m) {
        return here.layout().groupOf(m.host());
    }

    private static BitSet allGroups() {
        BitSet all = new BitSet();
        all.set(0, 64);
        return all;
    }

    private static List<GroupSummary> summaries(FleetMembers from) {
        return from.summaries(from.layout().count(), allGroups(), g -> true);
    }

    private static void take(FleetMembers to, FleetMembers from, long sentAt) {
        to.applySummaries(from.layout().count(), summaries(from), sentAt);
    }

    private void advance(long millis) {
        for (long t = 0; t < millis; t += 100) {
            ticker.advance(Duration.ofMillis(100));
            here.tick();
            there.tick();
        }
    }

    private void answersOfFar() {
        far.forEach(m -> there.recordResponse(m.host(), 1, ticker.nanos()));
    }

    private void answersOfNear() {
        all.stream()
                .filter(m -> !far.contains(m))
                .forEach(m -> here.recordResponse(m.host(), 1, ticker.nanos()));
    }

    /** Returns another member of the group of this daemon. */
    private Member nearOther() {
        return all.stream()
                .filter(m -> !far.contains(m) && !m.equals(all.getFirst()))
                .findFirst()
                .orElseThrow();
    }

    @Nested
    class Undisturbed {
        /** Guards against members of other groups that never count as in contact. */
        @Test
        void summaryGivesContactWithAllMembersOfTheGroup() {
            answersOfFar();
            answersOfNear();
            assertFalse(here.inContactWithAll());
            take(here, there, ticker.nanos());
            assertTrue(here.inContactWithAll());
            advance(CONTACT.toMillis());
            assertFalse(here.inContactWith(last));
        }
    }

    @Nested
    class DelayedAnswer {
        /** Guards against a summary whose age counts from its arrival. */
        @Test
        void countsFromTheRequestMinusTheAge() {
            long sent = ticker.nanos();
            answersOfFar();
            advance(1_500);
            List<GroupSummary> late = summaries(there);
            advance(1_000);
            here.applySummaries(here.layout().count(), late, sent);
            assertFalse(here.inContactWith(last));
            here.applySummaries(here.layout().count(), late, ticker.nanos());
            assertTrue(here.inContactWith(last));
            advance(1_000);
            assertFalse(here.inContactWith(last));
        }

        /** Guards against contact that daemons prolong by passing old summaries to each other. */
        @Test
        void passedOnSummariesAgeOn() {
            answersOfFar();
            take(here, there, ticker.nanos());
            FleetMembers next = directory(nearOther(), all);
            for (long t = 0; t < CONTACT.toMillis(); t += 100) {
                advance(100);
                next.tick();
                take(next, here, ticker.nanos());
                take(here, next, ticker.nanos());
            }
            assertFalse(here.inContactWith(last));
            assertFalse(next.inContactWith(last));
        }
    }

    @Nested
    class PartnerOnALink {
        /**
         * Guards against members that a summary covers but that are forwarded as absent, because
         * the response of the partner on the link is newer than what its summary states about the
         * others. Rounds have fixed intervals, so the group stayed out of contact permanently.
         */
        @Test
        void membersThatItsSummaryCoversArePassedOn() {
            answersOfFar();
            advance(900);
            long sent = ticker.nanos();
            here.recordResponse(far.getFirst().host(), 1, sent);
            take(here, there, sent);
            FleetMembers next = directory(nearOther(), all);
            take(next, here, ticker.nanos());
            far.forEach(m -> assertTrue(next.inContactWith(m.host()), m.toString()));
        }
    }

    @Nested
    class CutOffMember {
        /**
         * Guards against a cut off member that counts as in contact with its group, or that ends
         * the contact with the group.
         */
        @Test
        void isListedAndLeavesTheOthersInContact() {
            answersOfFar();
            advance(1_700);
            far.stream()
                    .filter(m -> !m.host().equals(last))
                    .forEach(m -> there.recordResponse(m.host(), 1, ticker.nanos()));
            take(here, there, ticker.nanos());
            assertFalse(here.inContactWith(last));
            assertTrue(here.inContactWith(far.get(1).host()));
            answersOfNear();
            assertFalse(here.inContactWithAll());
        }

        /** Guards against waiting for the removal time after a planned stop in another group. */
        @Test
        void thatLeftIsSilentAtOnceAndCountsAgainWithItsNextRun() {
            answersOfFar();
            take(here, there, ticker.nanos());
            advance(500);
            there.recordDeparture(last);
            take(here, there, ticker.nanos());
            assertTrue(here.isUnresponsive(last));
            advance(3_000);
            there.recordAnnouncement(
                    new Member(last, all.getFirst().failureDomain(), far.getLast().peer(), 2));
            there.recordResponse(last, 2, ticker.nanos());
            take(here, there, ticker.nanos());
            assertFalse(here.isUnresponsive(last));
            assertTrue(here.inContactWith(last));
        }
    }

    @Nested
    class Disagreement {
        /** Guards against contact with a member that the sender of the summary does not know. */
        @Test
        void memberKnownToSomeOnlyIsNotCovered() {
            List<Member> fewer = all.stream().filter(m -> !m.host().equals(last)).toList();
            FleetMembers ignorant = directory(far.getFirst(), fewer);
            fewer.forEach(m -> ignorant.recordResponse(m.host(), 1, ticker.nanos()));
            assertEquals(here.layout().count(), ignorant.layout().count());
            take(here, ignorant, ticker.nanos());
            assertFalse(here.inContactWith(last));
            answersOfFar();
            take(here, there, ticker.nanos());
            advance(500);
            fewer.forEach(m -> ignorant.recordResponse(m.host(), 1, ticker.nanos()));
            take(here, ignorant, ticker.nanos());
            advance(2_000);
            assertFalse(here.inContactWith(last));
        }

        /** Guards against summaries of groups that have the same number and other members. */
        @Test
        void otherNumberOfGroupsIsIgnored() {
            answersOfFar();
            here.applySummaries(2 * here.layout().count(), summaries(there), ticker.nanos());
            assertFalse(here.inContactWith(last));
            assertEquals(List.of(), there.summaries(1, allGroups(), g -> true));
        }
    }

    @Nested
    class CutLinks {
        /**
         * Guards against groups that stay without contact although other members could reach each
         * other.
         */
        @Test
        void nextMembersTakeOver() {
            List<FleetMembers> near =
                    all.stream().filter(m -> !far.contains(m)).map(m -> directory(m, all)).toList();
            int before = near.stream().mapToInt(m -> linksOf(m)).sum();
            for (int t = 0; t < 21; t++) {
                ticker.advance(Duration.ofMillis(100));
                near.forEach(FleetMembers::tick);
                near.forEach(FleetMembers::exchangePartners);
            }
            assertEquals(GroupLayout.LINKS_PER_GROUP_PAIR, before);
            assertTrue(near.stream().mapToInt(m -> linksOf(m)).sum() > before);
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
                    FleetMembers asker = e.getValue();
                    HostId peer = all.get(random.nextInt(all.size())).host();
                    if (!(stopped && peer.equals(dead)) && !peer.equals(e.getKey())) {
                        long sent = ticker.nanos() - random.nextInt(300) * 1_000_000L;
                        List<GroupSummary> answer = summaries(daemons.get(peer));
                        delayed.add(
                                () -> {
                                    asker.recordResponse(peer, 1, sent);
                                    asker.applySummaries(asker.layout().count(), answer, sent);
                                });
                    }
                }
                if (stopped
                        && !e.getKey().equals(dead)
                        && ticker.nanos() - stop >= CONTACT.toNanos()) {
                    assertFalse(e.getValue().inContactWith(dead));
                }
            }
            while (!delayed.isEmpty() && random.nextInt(4) > 0) {
                delayed.remove(random.nextInt(delayed.size())).run();
            }
        }
    }
}
