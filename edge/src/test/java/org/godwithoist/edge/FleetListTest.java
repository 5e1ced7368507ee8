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
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;
import org.godwithoist.store.feed.WritableTable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link FleetList}. */
final class FleetListTest {
    private static final int ASSUMED_SIZE = 12;
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(12);

    /** An in-memory table with simulated failures. */
    private static final class Table implements WritableTable {
        private final Map<String, byte[]> rows = new TreeMap<>();
        private int writes;
        private boolean available = true;
        private boolean writeResponsesAreLost;

        @Override
        public FeedPage readAll(Duration timeout) throws IOException {
            if (!available) {
                throw new IOException("the store is down");
            }
            List<FeedRow> list = new ArrayList<>();
            rows.forEach((key, value) -> list.add(new FeedRow(key, value, 1, false)));
            return new FeedPage(list, new StoreVersion(StoreEra.UNKNOWN, 1));
        }

        @Override
        public void write(String key, byte[] value) throws IOException {
            writes++;
            rows.put(key, value);
            if (writeResponsesAreLost) {
                throw new IOException("no response");
            }
        }

        @Override
        public void remove(String key) {
            rows.remove(key);
        }

        @Override
        public FeedPage changes(StoreVersion after, Duration wait) throws IOException {
            return readAll();
        }

        @Override
        public void abortRequest() {
            available = false;
        }
    }

    private final VirtualTicker ticker = new VirtualTicker();
    private final Table table = new Table();
    private Collection<Member> members = List.of();

    private FleetList create(int number) {
        Member self =
                new Member(
                        new HostId("edge-" + number),
                        new FailureDomainId("north"),
                        new Endpoint("10.0.0." + number, 7340));
        return new FleetList(
                self,
                ASSUMED_SIZE,
                table,
                listed -> members = listed,
                EventLog.start(OutputStream.nullOutputStream()),
                ticker);
    }

    private int share(FleetList list) {
        return list.share().of(100, 0);
    }

    @Nested
    final class FirstStart {
        /** Guards against a single daemon that may not use the full limit. */
        @Test
        void singleDaemonHasTheFullLimit() {
            FleetList first = create(1);
            first.poll();
            assertEquals(100, share(first));
            assertEquals(1, table.writes);
        }

        /** Guards against daemons that assume too small a fleet before the list is read. */
        @Test
        void unreadListGivesTheShareOfAnAssumedFleet() {
            assertTrue(share(create(1)) <= 100 / ASSUMED_SIZE + 1);
        }
    }

    /** Scenario: hosts are added ({@code add_nodes}) while targets are cold. */
    @Nested
    final class NewlyJoinedDaemon {
        /** Guards against shares that add up to more than the limit of a cold target. */
        @Test
        void newlyJoinedDaemonHasNoShareUntilTheOthersHavePolled() {
            FleetList old = create(1);
            old.poll();
            FleetList added = create(2);
            added.poll();
            assertTrue(share(old) + share(added) <= 100);
            old.poll();
            ticker.advance(POLL_INTERVAL.plus(Duration.ofSeconds(3)));
            assertEquals(100, share(old) + share(added));
            assertEquals(50, share(added));
        }

        /**
         * Guards against a newly joined daemon that considers itself known to the others because it
         * finds its own row when it retries the write.
         */
        @Test
        void daemonStaysNewlyJoinedAfterALostWriteResponse() {
            create(1).poll();
            FleetList added = create(2);
            table.writeResponsesAreLost = true;
            added.poll();
            table.writeResponsesAreLost = false;
            added.poll();
            assertEquals(0, share(added));
        }
    }

    /** Scenario: all daemons restart at the same time ({@code kill_all}, {@code power_off_all}). */
    @Nested
    final class Restart {
        /** Guards against a restart after which cold targets receive no requests. */
        @Test
        void listedDaemonHasItsShareImmediatelyAndWritesNothing() {
            create(1).poll();
            create(2).poll();
            int before = table.writes;
            FleetList restarted = create(2);
            restarted.poll();
            assertEquals(50, share(restarted));
            assertEquals(before, table.writes);
            assertEquals(2, members.size());
        }

        /** Guards against messages to the address that a daemon had before its restart. */
        @Test
        void changedAddressIsWritten() {
            create(1).poll();
            table.rows.put("edge-1", "10.9.9.9:1 north".getBytes(StandardCharsets.UTF_8));
            create(1).poll();
            assertEquals(2, table.writes);
        }
    }

    /** Scenario: the store is down ({@code platform_down}). */
    @Nested
    final class StoreUnavailable {
        /** Guards against discarding the last list and against retrying without a delay. */
        @Test
        void lastListIsKeptAndTheNextPollIsDelayed() {
            FleetList list = create(1);
            list.poll();
            table.available = false;
            assertFalse(list.poll().isZero());
            assertEquals(100, share(list));
        }
    }
}
