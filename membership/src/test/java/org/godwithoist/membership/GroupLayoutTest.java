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
    private static final int SIZE = 32;

    private static List<HostId> hosts(int count) {
        return IntStream.range(0, count).mapToObj(n -> new HostId("h" + n)).toList();
    }

    private static GroupLayout layout(int self, int count) {
        return new GroupLayout(new HostId("h" + self), hosts(count), SIZE);
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
            GroupLayout other = new GroupLayout(new HostId("h7"), shuffled, SIZE);
            hosts(100).forEach(h -> assertEquals(layout(0, 100).groupOf(h), other.groupOf(h)));
        }
    }

    @Nested
    class Links {
        private final Set<HostId> unresponsive = new HashSet<>();

        private Set<Set<HostId>> between(int a, int b, int wanted) {
            Set<Set<HostId>> ends = new HashSet<>();
            for (HostId h : hosts(100)) {
                GroupLayout layout = new GroupLayout(h, hosts(100), SIZE);
                if (layout.ownGroup().number() == a) {
                    layout.linkPartners(new GroupId(b), unresponsive::contains, wanted)
                            .forEach(other -> ends.add(Set.of(h, other)));
                }
            }
            return ends;
        }

        /** Guards against a link that only one of its two ends uses. */
        @Test
        void areTheSameSeenFromBothGroups() {
            for (int wanted = 3; wanted <= 15; wanted += 3) {
                assertEquals(wanted, between(0, 3, wanted).size());
                assertEquals(between(0, 3, wanted), between(3, 0, wanted));
            }
        }

        /** Guards against a link that stays with an unresponsive member. */
        @Test
        void moveToTheNextMembers() {
            Set<Set<HostId>> first = between(1, 2, 3);
            unresponsive.addAll(first.iterator().next());
            Set<Set<HostId>> next = between(1, 2, 3);
            assertEquals(3, next.size());
            assertEquals(next, between(2, 1, 3));
            assertTrue(next.stream().noneMatch(l -> l.stream().anyMatch(unresponsive::contains)));
        }
    }
}
