package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.peers.Member;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.WritableTable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link FleetList}. */
final class FleetListTest {
    private static final int ASSUMED = 12;
    private static final Duration LOOK = Duration.ofSeconds(12);

    /** A table in memory. */
    private static final class Table implements WritableTable {
        private final Map<String, byte[]> rows = new TreeMap<>();
        private int writes;
        private boolean answers = true;
        private boolean answersOfWritesAreLost;

        @Override
        public FeedPage readAll() throws IOException {
            if (!answers) {
                throw new IOException("the store is down");
            }
            List<FeedRow> list = new ArrayList<>();
            rows.forEach((key, value) -> list.add(new FeedRow(key, value, 1, false)));
            return new FeedPage(list, 1);
        }

        @Override
        public void write(String key, byte[] value) throws IOException {
            writes++;
            rows.put(key, value);
            if (answersOfWritesAreLost) {
                throw new IOException("no answer");
            }
        }

        @Override
        public FeedPage changes(long after, Duration wait) throws IOException {
            return readAll();
        }

        @Override
        public void abortRequest() {
            answers = false;
        }
    }

    private final VirtualTicker ticker = new VirtualTicker();
    private final Table table = new Table();
    private Collection<Member> listed = List.of();

    private FleetList start(int number) {
        Member self =
                new Member(
                        new HostId("edge-" + number),
                        new FailureDomainId("north"),
                        new Endpoint("10.0.0." + number, 7340));
        return new FleetList(
                self,
                ASSUMED,
                table,
                members -> listed = members,
                EventLog.start(OutputStream.nullOutputStream()),
                ticker);
    }

    private int part(FleetList list) {
        return list.share().of(100, 0);
    }

    @Nested
    final class FirstStart {
        /** Guards against a lone daemon that has no part in any limit. */
        @Test
        void firstDaemonHasTheWholeLimit() {
            FleetList first = start(1);
            first.step();
            assertEquals(100, part(first));
            assertEquals(1, table.writes);
        }

        /** Guards against daemons that assume too few others before they know. */
        @Test
        void unreadListGivesThePartOfAnAssumedFleet() {
            assertTrue(part(start(1)) <= 100 / ASSUMED + 1);
        }
    }

    /** Pattern: machines are added ({@code add_nodes}) while targets are cold. */
    @Nested
    final class NewDaemon {
        /** Guards against parts that add up to more than a cold target bears. */
        @Test
        void newcomerHasNoPartUntilTheOthersHaveLooked() {
            FleetList old = start(1);
            old.step();
            FleetList added = start(2);
            added.step();
            assertTrue(part(old) + part(added) <= 100);
            old.step();
            ticker.advance(LOOK.plus(Duration.ofSeconds(3)));
            assertEquals(100, part(old) + part(added));
            assertEquals(50, part(added));
        }

        /** Guards against a newcomer that takes itself for known because its write was repeated. */
        @Test
        void lostAnswerLeavesItANewcomer() {
            start(1).step();
            FleetList added = start(2);
            table.answersOfWritesAreLost = true;
            added.step();
            table.answersOfWritesAreLost = false;
            added.step();
            assertEquals(0, part(added));
        }
    }

    /** Pattern: all daemons start again at once ({@code kill_all}, {@code power_off_all}). */
    @Nested
    final class Restart {
        /** Guards against a restart after which nobody calls cold targets. */
        @Test
        void listedDaemonHasItsPartAtOnceAndWritesNothing() {
            start(1).step();
            start(2).step();
            int before = table.writes;
            FleetList again = start(2);
            again.step();
            assertEquals(50, part(again));
            assertEquals(before, table.writes);
            assertEquals(2, listed.size());
        }

        /** Guards against others that send messages to an address of an earlier start. */
        @Test
        void changedAddressIsWritten() {
            start(1).step();
            table.rows.put("edge-1", "10.9.9.9:1 north".getBytes(StandardCharsets.UTF_8));
            start(1).step();
            assertEquals(2, table.writes);
        }
    }

    /** Pattern: the store is down ({@code platform_down}). */
    @Nested
    final class StoreAway {
        /** Guards against a list that is forgotten, and against a rush of calls. */
        @Test
        void lastListStaysAndTheNextTryWaits() {
            FleetList list = start(1);
            list.step();
            table.answers = false;
            assertFalse(list.step().isZero());
            assertEquals(100, part(list));
        }
    }
}
