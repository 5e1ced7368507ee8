package org.godwithoist.edge;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.random.RandomGenerator;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.peers.Member;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;
import org.godwithoist.store.feed.WritableTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link FleetList}. */
final class FleetListTest {
    private static final int ASSUMED_SIZE = 12;
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(12);

    /** An in-memory table with simulated failures. */
    private static final class Table implements WritableTable {
        private final Map<String, byte[]> rows = new ConcurrentSkipListMap<>();
        private int writes;
        private boolean available = true;
        private boolean writeResponsesAreLost;
        private boolean writesFail;

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
            if (writesFail) {
                throw new IOException("status 429");
            }
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
        return create(number, () -> 0);
    }

    private FleetList create(int number, RandomGenerator random) {
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
                ticker,
                random);
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

        /** Guards against a joining period that ends before the others can have read the row. */
        @Test
        void joiningPeriodBeginsWhenTheRowIsListed() {
            FleetList old = create(1);
            old.poll();
            FleetList added = create(2);
            table.writesFail = true;
            added.poll();
            ticker.advance(Duration.ofSeconds(20));
            assertEquals(0, share(added));
            table.writesFail = false;
            added.poll();
            ticker.advance(Duration.ofSeconds(14));
            assertEquals(100, share(old) + share(added));
            old.poll();
            ticker.advance(Duration.ofSeconds(1));
            assertEquals(50, share(added));
        }

        /** Guards against a joining period that ignores a write that took effect late. */
        @Test
        void joiningPeriodBeginsWhenALateWriteIsSeen() {
            FleetList old = create(1);
            old.poll();
            FleetList added = create(2);
            table.writesFail = true;
            added.poll();
            table.writesFail = false;
            ticker.advance(Duration.ofSeconds(8));
            table.rows.put("edge-2", "10.0.0.2:7340 north".getBytes(UTF_8));
            added.poll();
            ticker.advance(Duration.ofSeconds(14));
            assertEquals(100, share(old) + share(added));
        }

        /** Guards against shares above the limit after the store has lost a new row. */
        @Test
        void joiningPeriodBeginsAgainIfTheStoreLosesTheRow() {
            FleetList old = create(1);
            old.poll();
            FleetList added = create(2);
            added.poll();
            table.rows.remove("edge-2");
            ticker.advance(POLL_INTERVAL);
            old.poll();
            added.poll();
            ticker.advance(Duration.ofSeconds(4));
            assertEquals(100, share(old) + share(added));
            old.poll();
            ticker.advance(Duration.ofSeconds(11));
            assertEquals(50, share(added));
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
            table.rows.put("edge-1", "10.9.9.9:1 north".getBytes(UTF_8));
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

    /**
     * Scenario: the store was restored from an older copy and has lost rows ({@code platform_down},
     * {@code restored}).
     */
    @Nested
    final class RestoredStore {
        private final FleetList old = create(1);
        private final FleetList added = create(2);

        @BeforeEach
        void listBoth() {
            old.poll();
            added.poll();
            old.poll();
            ticker.advance(Duration.ofMinutes(1));
            added.poll();
        }

        /** Guards against a daemon that is missing from the list until its next start. */
        @Test
        void lostRowIsWrittenAgainByTheNextPoll() {
            byte[] row = table.rows.remove("edge-2");
            old.poll();
            added.poll();
            assertArrayEquals(row, table.rows.get("edge-2"));
            FleetList started = create(3);
            started.poll();
            assertEquals(3, started.share().members());
        }

        /** Guards against an earlier address that is back and stays. */
        @Test
        void earlierValueIsReplaced() {
            byte[] row = table.rows.put("edge-2", "10.9.9.9:1 north".getBytes(UTF_8));
            added.poll();
            assertArrayEquals(row, table.rows.get("edge-2"));
        }

        /** Guards against shares that add up to more than the limit until the row is back. */
        @Test
        void daemonWhoseRowIsLostStillCounts() {
            table.rows.remove("edge-2");
            old.poll();
            assertEquals(100, share(old) + share(added));
            table.rows.clear();
            old.poll();
            added.poll();
            assertEquals(100, share(old) + share(added));
        }

        /** Guards against calls to the store that nothing requires. */
        @Test
        void nothingIsWrittenWhileTheRowIsListed() {
            int before = table.writes;
            for (int i = 0; i < 10; i++) {
                assertEquals(POLL_INTERVAL, old.poll());
            }
            assertEquals(before, table.writes);
        }

        /** Guards against a row that is not written again because the first attempt failed. */
        @Test
        void failedWriteIsRepeatedAfterAGrowingDelay() {
            table.rows.remove("edge-2");
            table.writesFail = true;
            Duration first = added.poll();
            Duration second = added.poll();
            assertTrue(first.compareTo(Duration.ofMillis(500)) >= 0);
            assertTrue(second.compareTo(first) > 0);
            for (int i = 0; i < 10; i++) {
                assertTrue(added.poll().compareTo(Duration.ofSeconds(2)) <= 0);
            }
            table.writesFail = false;
            added.poll();
            assertTrue(table.rows.containsKey("edge-2"));
        }

        /** Guards against a list that is out of date while the daemon cannot write its row. */
        @Test
        void othersAreCountedWhileTheWriteFails() {
            create(3).poll();
            table.rows.remove("edge-2");
            table.writesFail = true;
            added.poll();
            assertEquals(3, added.share().members());
        }

        /** Guards against a lost row that is written only after the rest of the poll interval. */
        @Test
        void runningTaskWritesTheRowSoonAfterTheRestore() {
            Supervisor supervisor = new Supervisor((name, cause, backoff) -> {}, Ticker.SYSTEM);
            Thread task = added.start(supervisor);
            table.rows.remove("edge-2");
            awaitRow("edge-2");
            table.rows.remove("edge-2");
            added.storeRestored();
            awaitRow("edge-2");
            task.interrupt();
        }

        private void awaitRow(String key) {
            Instant end = Instant.now().plusSeconds(5);
            while (!table.rows.containsKey(key) && Instant.now().isBefore(end)) {
                Tasks.sleep(Duration.ofMillis(10));
            }
            assertTrue(table.rows.containsKey(key));
        }

        /** Guards against a poll that comes before the others have written their rows again. */
        @Test
        void restoreIsFollowedByTwoPolls() {
            old.poll();
            old.storeRestored();
            old.storeRestored();
            assertTrue(old.awaitNextPoll(Duration.ofMinutes(1)));
            assertEquals(Duration.ofSeconds(3), old.poll());
            assertEquals(POLL_INTERVAL, old.poll());
            assertTrue(old.awaitNextPoll(Duration.ofMillis(1)));
            assertEquals(POLL_INTERVAL, old.poll());
        }

        /** Guards against a restore that postpones a poll. */
        @Test
        void pollThatIsDueSoonerIsNotPostponed() {
            FleetList list = create(3, () -> Long.MAX_VALUE / 2);
            assertEquals(Duration.ofMillis(1), list.delayAfterRestore(Duration.ofMillis(1)));
            assertEquals(Duration.ZERO, list.delayAfterRestore(Duration.ofMillis(-1)));
        }

        /** Guards against a fleet whose daemons all call the restored store at the same time. */
        @Test
        void pollsOfTheFleetAreSpread() {
            int[] pollsBySecond = new int[3];
            for (int i = 0; i < 95; i++) {
                Duration delay = create(i + 10, new Random(i)).delayAfterRestore(POLL_INTERVAL);
                pollsBySecond[(int) delay.toSeconds()]++;
            }
            for (int polls : pollsBySecond) {
                assertTrue(polls > 0 && polls < 60, Arrays.toString(pollsBySecond));
            }
        }
    }
}
