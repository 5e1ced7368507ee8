package org.godwithoist.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HostListSourcesTest {
    private static final int DOMAINS = 3;

    private final Set<HostId> unresponsive = new HashSet<>();
    private final Set<HostId> late = new HashSet<>();
    private final List<Member> all = IntStream.range(0, 30).mapToObj(n -> member(n)).toList();

    private static Member member(int n) {
        var domain = new FailureDomainId("d" + n % DOMAINS);
        return new Member(new HostId("h" + n), domain, new Endpoint("127.0.0.1", 9), 1);
    }

    private HostListSources at(Member self) {
        return new HostListSources(new ListedMembers(self, all, unresponsive, late));
    }

    private List<Member> readers() {
        return all.stream().filter(m -> at(m).isReader()).toList();
    }

    private Member puller() {
        return all.stream().filter(m -> !at(m).isReader()).findFirst().orElseThrow();
    }

    private FailureDomainId domainOf(HostId host) {
        return all.stream().filter(m -> m.host().equals(host)).findFirst().get().failureDomain();
    }

    @Nested
    class Readers {
        /**
         * Guards against a number of reads that grows with the fleet, and against a failure domain
         * without a reader.
         */
        @Test
        void twoMembersOfEachDomainRead() {
            List<Member> readers = readers();
            assertEquals(DOMAINS * HostListSources.READERS_PER_DOMAIN, readers.size());
            assertEquals(DOMAINS, readers.stream().map(Member::failureDomain).distinct().count());
        }

        /** Guards against a failure domain without reads after the loss of its readers. */
        @Test
        void nextMemberReplacesAnUnresponsiveReader() {
            Set<Member> before = new HashSet<>(readers());
            Member lost = before.iterator().next();
            unresponsive.add(lost.host());
            List<Member> after = new ArrayList<>(readers());
            // The unresponsive member itself may still read; the others of its failure domain do
            // not count it.
            after.remove(lost);
            assertEquals(before.size(), after.size());
            after.removeAll(before);
            assertEquals(
                    List.of(lost.failureDomain()),
                    after.stream().map(Member::failureDomain).toList());
        }
    }

    @Nested
    class Sources {
        /** Guards against pulls from other failure domains while the own one has readers. */
        @Test
        void ownReadersComeFirst() {
            Member self = puller();
            List<HostId> sources = at(self).sources(true);
            assertEquals(DOMAINS * HostListSources.READERS_PER_DOMAIN, sources.size());
            assertEquals(self.failureDomain(), domainOf(sources.get(0)));
            assertEquals(self.failureDomain(), domainOf(sources.get(1)));
            assertFalse(self.failureDomain().equals(domainOf(sources.get(2))));
        }

        /** Guards against rounds that repeatedly wait for a paused reader. */
        @Test
        void lateReaderComesLastAndUnresponsiveOneIsOmitted() {
            Member self = puller();
            List<HostId> sources = at(self).sources(true);
            late.add(sources.get(0));
            assertEquals(sources.get(0), at(self).sources(true).getLast());
            unresponsive.add(sources.get(0));
            assertFalse(at(self).sources(true).contains(sources.get(0)));
        }

        /**
         * Guards against a newly started daemon that gets no list because its seeds are not
         * readers.
         */
        @Test
        void withoutAListAllMembersAreSources() {
            Member self = puller();
            assertEquals(all.size() - 1, at(self).sources(false).size());
            assertFalse(at(self).sources(false).contains(self.host()));
        }

        /** Guards against one reader that receives all pulls of its failure domain. */
        @Test
        void pullsAreSpreadOverTheReaders() {
            long firsts =
                    all.stream()
                            .filter(m -> !at(m).isReader())
                            .map(m -> at(m).sources(true).getFirst())
                            .distinct()
                            .count();
            assertTrue(
                    firsts > DOMAINS,
                    "only " + firsts + " readers are the first source of a daemon");
        }
    }
}
