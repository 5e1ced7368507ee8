package org.godwithoist.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.godwithoist.core.id.HostId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GroupLayoutTest {
    private static final int MAX_MEAN_SIZE = 32;

    private static List<HostId> hosts(int count) {
        return IntStream.range(0, count).mapToObj(n -> new HostId("h" + n)).toList();
    }

    private static GroupLayout layout(int self, int count) {
        return new GroupLayout(new HostId("h" + self), hosts(count), MAX_MEAN_SIZE);
    }

    @Nested
    class NumberOfGroups {
        /**
         * Guards against several groups in a small fleet, and against group sizes that grow with
         * the fleet.
         */
        @Test
        void isTheSmallestPowerOfTwoForTheMeanSize() {
            assertFalse(layout(0, 32).hasMultipleGroups());
            assertEquals(2, layout(0, 33).count());
            assertEquals(4, layout(0, 65).count());
            assertEquals(32, layout(0, 940).count());
        }

        /** Guards against daemons that assign the same members to different groups. */
        @Test
        void dependsOnTheSetOfMembersOnly() {
            List<HostId> shuffled = new ArrayList<>(hosts(100));
            Collections.shuffle(shuffled, new Random(1));
            GroupLayout other = new GroupLayout(new HostId("h7"), shuffled, MAX_MEAN_SIZE);
            hosts(100).forEach(h -> assertEquals(layout(0, 100).groupOf(h), other.groupOf(h)));
        }
    }

    @Nested
    class Links {
        private final Set<HostId> unresponsive = new HashSet<>();

        private Set<Set<HostId>> linksBetween(int a, int b, int linkCount) {
            Set<Set<HostId>> ends = new HashSet<>();
            for (HostId h : hosts(100)) {
                GroupLayout layout = new GroupLayout(h, hosts(100), MAX_MEAN_SIZE);
                if (layout.ownGroup().number() == a) {
                    layout.linkPartners(new GroupId(b), unresponsive::contains, linkCount)
                            .forEach(other -> ends.add(Set.of(h, other)));
                }
            }
            return ends;
        }

        /** Guards against a link that only one of its two ends uses. */
        @Test
        void areTheSameSeenFromBothGroups() {
            for (int linkCount = 3; linkCount <= 15; linkCount += 3) {
                assertEquals(linkCount, linksBetween(0, 3, linkCount).size());
                assertEquals(linksBetween(0, 3, linkCount), linksBetween(3, 0, linkCount));
            }
        }

        /** Guards against a link that stays with an unresponsive member. */
        @Test
        void moveToTheNextMembers() {
            Set<Set<HostId>> first = linksBetween(1, 2, 3);
            unresponsive.addAll(first.iterator().next());
            Set<Set<HostId>> next = linksBetween(1, 2, 3);
            assertEquals(3, next.size());
            assertEquals(next, linksBetween(2, 1, 3));
            assertTrue(next.stream().noneMatch(l -> l.stream().anyMatch(unresponsive::contains)));
        }
    }
}
