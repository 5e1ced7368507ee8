package org.godwithoist.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link RecentChanges}. */
final class RecentChangesTest {
    private static final Duration MAX_AGE = Duration.ofMillis(1200);

    private final VirtualTicker ticker = new VirtualTicker();
    private final RecentChanges recent = new RecentChanges(ticker);

    private static FeedRow row(String key, long version) {
        return new FeedRow(key, new byte[] {1}, version, false);
    }

    private static StoreVersion version(long number) {
        return new StoreVersion(new StoreEra(1), number);
    }

    private static FeedPage page(long version, FeedRow... rows) {
        return new FeedPage(List.of(rows), version(version));
    }

    private void add(long after, long version, FeedRow... rows) {
        recent.add(version(after), version(after), page(version, rows), ticker.nanos());
    }

    private long nextStoreVersion(long after) {
        return recent.nextStoreVersion(version(after)).number();
    }

    private Optional<FeedPage> changesAfter(long version) throws InterruptedException {
        return recent.awaitChanges(version(version), Duration.ZERO, MAX_AGE);
    }

    private List<String> keysAfter(long version) throws InterruptedException {
        return changesAfter(version).orElseThrow().rows().stream().map(FeedRow::key).toList();
    }

    @Nested
    final class UpToDateCopy {
        /** Guards against a change that a member misses or receives twice. */
        @Test
        void memberReceivesTheChangesAfterItsVersion() throws InterruptedException {
            add(10, 12, row("a", 11), row("b", 12));
            add(12, 14, row("a", 14));
            assertEquals(List.of("b", "a"), keysAfter(10));
            assertEquals(List.of("a"), keysAfter(12));
            assertEquals(14, changesAfter(12).orElseThrow().version().number());
        }

        /** Guards against a member that reverts to the older version of its leader. */
        @Test
        void memberAheadOfTheLeaderReceivesNothing() throws InterruptedException {
            add(10, 12, row("a", 11));
            assertEquals(List.of(), keysAfter(20));
        }

        /** Guards against members that receive a change only at the end of their wait. */
        @Test
        void changeEndsTheWait() throws Exception {
            RecentChanges recentInRealTime = new RecentChanges(Ticker.SYSTEM);
            recentInRealTime.add(version(10), version(10), page(10), System.nanoTime());
            CompletableFuture<Optional<FeedPage>> response = new CompletableFuture<>();
            Tasks.start("member", () -> response.complete(awaitChanges(recentInRealTime)));
            Thread.sleep(50);
            assertFalse(response.isDone());
            recentInRealTime.add(
                    version(10), version(10), page(11, row("a", 11)), System.nanoTime());
            assertEquals(1, response.get(2, TimeUnit.SECONDS).orElseThrow().rows().size());
        }

        private Optional<FeedPage> awaitChanges(RecentChanges recentInRealTime) {
            try {
                return recentInRealTime.awaitChanges(
                        version(10), Duration.ofSeconds(10), Duration.ofSeconds(20));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Optional.empty();
            }
        }
    }

    /** Scenario: a leader is suspended ({@code node_freeze}) or its link is slow. */
    @Nested
    final class StaleCopy {
        /** Guards against a leader with a stale copy that reports that nothing has changed. */
        @Test
        void staleCopyIsNotRelayed() throws InterruptedException {
            add(10, 12, row("a", 11));
            ticker.advance(MAX_AGE);
            assertTrue(changesAfter(10).isEmpty());
            add(12, 12);
            assertEquals(List.of("a"), keysAfter(10));
        }

        /** Guards against members that wait although the leader has lost the store. */
        @Test
        void invalidationIsReportedImmediately() throws InterruptedException {
            add(10, 12, row("a", 11));
            recent.invalidate();
            assertTrue(recent.awaitChanges(version(10), Duration.ofSeconds(30), MAX_AGE).isEmpty());
        }
    }

    @Nested
    final class MissingHistory {
        /** Guards against a member that misses changes from before this daemon was the leader. */
        @Test
        void memberOlderThanTheFirstResponseIsNotServed() throws InterruptedException {
            add(10, 12, row("a", 11));
            assertTrue(changesAfter(9).isEmpty());
        }

        /**
         * Guards against a member that is never served because the table does not change. Seen on
         * bench-ops-grown: only 3 of 69 members followed the operator's table at their leader.
         */
        @Test
        void storeIsReadFromTheVersionOfTheMemberBehind() throws InterruptedException {
            add(10, 12);
            assertEquals(12, nextStoreVersion(12));
            assertTrue(changesAfter(8).isEmpty());
            assertTrue(changesAfter(7).isEmpty());
            assertTrue(changesAfter(9).isEmpty());
            long from = nextStoreVersion(12);
            assertEquals(7, from);
            add(from, 12);
            assertEquals(List.of(), keysAfter(7));
            assertEquals(12, nextStoreVersion(12));
        }

        /**
         * Guards against a member that is served once and then rejected again, because the store
         * returns the requested version while nothing changes. Seen on bench-ops-grown.
         */
        @Test
        void memberThatWasBehindRemainsServed() throws InterruptedException {
            add(12, 12);
            assertTrue(changesAfter(7).isEmpty());
            recent.add(recent.nextStoreVersion(version(12)), version(12), page(7), ticker.nanos());
            add(12, 12);
            assertEquals(List.of(), keysAfter(7));
        }

        /** Guards against missing changes from between two terms of this daemon as the leader. */
        @Test
        void gapClearsTheRetainedChanges() throws InterruptedException {
            add(10, 12, row("a", 11));
            add(15, 16, row("b", 16));
            assertTrue(changesAfter(12).isEmpty());
            assertEquals(List.of("b"), keysAfter(15));
        }

        /**
         * Scenario: a large fleet of targets is replaced. Guards against unbounded memory use and
         * against members that miss dropped rows.
         */
        @Test
        void oldestRowsAreDroppedWithoutSkippingAny() throws InterruptedException {
            List<FeedRow> rows = new ArrayList<>();
            for (int i = 1; i <= 1000; i++) {
                rows.add(row("target-" + i, 10 + i));
            }
            add(10, 1010, rows.toArray(FeedRow[]::new));
            assertTrue(changesAfter(10).isEmpty());
            assertEquals(List.of("target-999", "target-1000"), keysAfter(1008));
            assertEquals(512, keysAfter(1010 - 512).size());
        }
    }

    /** Scenario: the store is restored from an older copy, and daemons notice it by and by. */
    @Nested
    final class Eras {
        private StoreVersion inEra(long era, long number) {
            return new StoreVersion(new StoreEra(era), number);
        }

        private void readTable(FeedRow... rows) {
            recent.replaceAll(new FeedPage(List.of(rows), inEra(2, 8)), ticker.nanos());
        }

        /** Guards against a member that keeps its rows because its version is the higher one. */
        @Test
        void memberOfAnEarlierEraReceivesTheTable() throws InterruptedException {
            readTable(row("a", 7), row("b", 8));
            StoreVersion from = inEra(2, 8);
            FeedRow removed = new FeedRow("a", new byte[0], 9, true);
            recent.add(from, from, new FeedPage(List.of(removed), inEra(2, 9)), ticker.nanos());
            FeedPage page =
                    recent.awaitChanges(inEra(1, 40), Duration.ofSeconds(9), MAX_AGE).orElseThrow();
            assertEquals(List.of("b"), page.rows().stream().map(FeedRow::key).toList());
            assertEquals(inEra(2, 9), page.version());
        }

        /** Guards against a leader that has not noticed the restore and takes its member back. */
        @Test
        void memberOfALaterEraIsNotServed() throws InterruptedException {
            readTable(row("a", 7));
            assertTrue(recent.awaitChanges(inEra(3, 1), Duration.ZERO, MAX_AGE).isEmpty());
            assertEquals(inEra(2, 8), recent.nextStoreVersion(inEra(2, 8)));
        }

        /** Guards against a part of the table that a member takes for all of it. */
        @Test
        void changesAloneAreNotSentToAnotherEra() throws InterruptedException {
            add(10, 12, row("a", 11));
            assertTrue(recent.awaitChanges(inEra(0, 12), Duration.ZERO, MAX_AGE).isEmpty());
        }

        /** Guards against a table without the rows that exceeded the limits. */
        @Test
        void largeTableIsNotSentToAnotherEra() throws InterruptedException {
            List<FeedRow> rows = new ArrayList<>();
            for (int i = 1; i <= 1000; i++) {
                rows.add(row("target-" + i, i));
            }
            recent.replaceAll(new FeedPage(rows, inEra(2, 1000)), ticker.nanos());
            assertTrue(recent.awaitChanges(inEra(1, 5), Duration.ZERO, MAX_AGE).isEmpty());
            assertTrue(recent.awaitChanges(inEra(2, 999), Duration.ZERO, MAX_AGE).isEmpty());
            assertTrue(recent.awaitChanges(inEra(2, 1000), Duration.ZERO, MAX_AGE).isPresent());
        }

        /** Guards against a stale table, which would take the member back. */
        @Test
        void staleTableIsNotSent() throws InterruptedException {
            readTable(row("a", 7));
            ticker.advance(MAX_AGE);
            assertTrue(recent.awaitChanges(inEra(1, 5), Duration.ZERO, MAX_AGE).isEmpty());
        }
    }
}
