package org.godwithoist.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.random.RandomGenerator;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;
import org.godwithoist.store.feed.WritableTable;
import org.godwithoist.targets.TargetIncarnation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link QuarantineTable} with an in-memory table. */
final class QuarantineTableTest {
    private static final List<SuspectId> POISON = List.of(new SuspectId("dead"));

    /** A table that can be unavailable. */
    private static final class Table implements WritableTable {
        private final Map<String, byte[]> rows = new ConcurrentSkipListMap<>();
        private boolean available = true;
        private int calls;

        /** Calls whose responses are lost and that take effect later; null to respond. */
        private List<Runnable> delayed;

        @Override
        public FeedPage readAll(Duration timeout) throws IOException {
            checkAvailable();
            List<FeedRow> list = new ArrayList<>();
            rows.forEach((key, value) -> list.add(new FeedRow(key, value, 1, false)));
            return new FeedPage(list, new StoreVersion(StoreEra.UNKNOWN, 1));
        }

        @Override
        public void write(String key, byte[] value) throws IOException {
            commit(() -> rows.put(key, value));
        }

        @Override
        public void remove(String key) throws IOException {
            commit(() -> rows.remove(key));
        }

        private void commit(Runnable change) throws IOException {
            checkAvailable();
            if (delayed != null) {
                delayed.add(change);
                throw new IOException("no response");
            }
            change.run();
        }

        private void loseResponses() {
            delayed = new ArrayList<>();
        }

        private void respond() {
            delayed = null;
        }

        @Override
        public FeedPage changes(StoreVersion after, Duration wait) {
            throw new UnsupportedOperationException("not used");
        }

        @Override
        public void abortRequest() {
            throw new UnsupportedOperationException("not used");
        }

        private void checkAvailable() throws IOException {
            calls++;
            if (!available) {
                throw new IOException("the store is down");
            }
        }
    }

    /** A daemon with its own clocks. */
    private final class Daemon {
        private final VirtualTicker ticker = new VirtualTicker();
        private final Quarantine quarantine =
                new Quarantine(EventLog.start(OutputStream.nullOutputStream()), ticker);
        private final QuarantineTable stored;

        private Daemon() {
            this(() -> 0);
        }

        private Daemon(RandomGenerator random) {
            stored =
                    new QuarantineTable(
                            quarantine,
                            table,
                            EventLog.start(OutputStream.nullOutputStream()),
                            () -> timeOfDay,
                            ticker,
                            random);
        }

        private void crash(int count) {
            for (int i = 0; i < count; i++) {
                quarantine.recordCrash(new TargetIncarnation(new TargetId("i-" + i), 1), POISON);
            }
        }

        private boolean blocks() {
            return quarantine.remaining(POISON).isPresent();
        }
    }

    private final Table table = new Table();
    private Instant timeOfDay = Instant.ofEpochSecond(1_700_000_000);

    @Nested
    final class RestartedDaemon {
        /** Guards against a quarantine that is lost with the daemons, or that starts anew. */
        @Test
        void quarantineGoesOnForTheRestOfItsTime() {
            Daemon first = new Daemon();
            first.crash(3);
            assertTrue(first.stored.save());
            Duration before = first.quarantine.remaining(POISON).orElseThrow();
            timeOfDay = timeOfDay.plusSeconds(60);
            Daemon restarted = new Daemon();
            assertTrue(restarted.stored.load());
            assertEquals(
                    before.minusSeconds(60), restarted.quarantine.remaining(POISON).orElseThrow());
        }

        /** Guards against a quarantine that is prolonged by a time of day that jumps back. */
        @Test
        void clockThatJumpsBackDoesNotProlongIt() {
            Daemon first = new Daemon();
            first.crash(3);
            first.stored.save();
            Duration before = first.quarantine.remaining(POISON).orElseThrow();
            timeOfDay = timeOfDay.minusSeconds(5000);
            Daemon restarted = new Daemon();
            restarted.stored.load();
            assertEquals(before, restarted.quarantine.remaining(POISON).orElseThrow());
        }
    }

    @Nested
    final class Rows {
        /** Guards against rows of suspects that are not quarantined. */
        @Test
        void onlyQuarantinedPartsAreStored() {
            Daemon daemon = new Daemon();
            daemon.crash(1);
            daemon.stored.save();
            assertTrue(table.rows.isEmpty());
        }

        /** Guards against a part that is blocked again by its row after it was released. */
        @Test
        void rowOfAReleasedPartIsRemoved() {
            Daemon daemon = new Daemon();
            daemon.crash(3);
            daemon.stored.save();
            assertEquals(1, table.rows.size());
            daemon.ticker.advance(Duration.ofSeconds(1));
            daemon.quarantine.recordResponse(POISON, daemon.ticker.nanos());
            daemon.stored.save();
            assertTrue(table.rows.isEmpty());
        }

        /** Guards against a row that stays because another daemon's evidence released its part. */
        @Test
        void rowIsRemovedByItsWriterWhenAnotherDaemonReleasesThePart() {
            Daemon writer = new Daemon();
            assertTrue(writer.stored.step());
            Daemon other = new Daemon();
            other.quarantine.recordResponse(POISON, other.ticker.nanos());
            other.crash(1);
            writer.crash(3);
            assertTrue(writer.stored.step());
            assertEquals(1, table.rows.size());
            writer.quarantine.merge(other.quarantine.evidence());
            assertFalse(writer.blocks());
            assertTrue(writer.stored.step());
            assertTrue(table.rows.isEmpty());
        }

        /** Guards against rows that are kept without end. */
        @Test
        void expiredRowIsRemoved() {
            Daemon first = new Daemon();
            first.crash(3);
            first.stored.save();
            timeOfDay = timeOfDay.plus(Duration.ofDays(1));
            Daemon restarted = new Daemon();
            restarted.stored.load();
            assertFalse(restarted.blocks());
            assertTrue(table.rows.isEmpty());
        }

        /** Guards against an odd row that keeps the others from being read. */
        @Test
        void oddRowsAreLeftOut() {
            Daemon first = new Daemon();
            first.crash(3);
            first.stored.save();
            table.rows.put("a", new byte[0]);
            table.rows.put("b", new byte[100]);
            byte[] longAgo = new byte[100];
            longAgo[0] = (byte) 0x80;
            table.rows.put("c", longAgo);
            Daemon restarted = new Daemon();
            assertTrue(restarted.stored.load());
            assertTrue(restarted.blocks());
        }
    }

    @Nested
    final class UnavailableStore {
        /** Guards against evidence that is not stored because the store was away at that time. */
        @Test
        void evidenceIsSavedOnceTheStoreIsBack() {
            table.available = false;
            Daemon daemon = new Daemon();
            daemon.crash(3);
            assertFalse(daemon.stored.load());
            assertFalse(daemon.stored.save());
            table.available = true;
            assertTrue(daemon.stored.save());
            assertEquals(1, table.rows.size());
        }
    }

    /**
     * Scenario: the store was restored from an older copy ({@code platform_down}, {@code
     * restored}).
     */
    @Nested
    final class RestoredStore {
        private final Daemon first = new Daemon();

        @BeforeEach
        void saveEvidence() {
            assertTrue(first.stored.step());
            first.crash(3);
            assertTrue(first.stored.step());
            assertEquals(1, table.rows.size());
        }

        /** Guards against evidence that is gone at the next start of all daemons. */
        @Test
        void lostEvidenceIsWrittenAgain() {
            table.rows.clear();
            first.stored.storeRestored();
            assertTrue(first.stored.step());
            Daemon started = new Daemon();
            started.stored.load();
            assertTrue(started.blocks());
        }

        /** Guards against evidence that is lost with the daemon that has written it. */
        @Test
        void daemonThatLearnedTheEvidenceWritesIt() {
            Daemon other = new Daemon();
            assertTrue(other.stored.step());
            other.quarantine.merge(first.quarantine.evidence());
            table.rows.clear();
            other.stored.storeRestored();
            assertTrue(other.stored.step());
            assertEquals(1, table.rows.size());
        }

        /** Guards against evidence that is older than what the daemons know. */
        @Test
        void olderEvidenceIsReplaced() {
            Map<String, byte[]> copy = Map.copyOf(table.rows);
            first.crash(5);
            assertTrue(first.stored.step());
            table.rows.putAll(copy);
            first.stored.storeRestored();
            assertTrue(first.stored.step());
            Daemon started = new Daemon();
            started.stored.load();
            assertEquals(first.quarantine.remaining(POISON), started.quarantine.remaining(POISON));
        }

        /** Guards against evidence that stays lost because the first attempt failed. */
        @Test
        void failedCheckIsRepeated() {
            table.rows.clear();
            table.available = false;
            first.stored.storeRestored();
            assertFalse(first.stored.step());
            assertFalse(first.stored.step());
            table.available = true;
            assertTrue(first.stored.step());
            assertEquals(1, table.rows.size());
        }

        /** Guards against calls of daemons whose rows are as they should be, or that have none. */
        @Test
        void callsAreMadeOnlyWhereNeeded() {
            Daemon withoutSuspects = new Daemon();
            Map<String, byte[]> rows = Map.copyOf(table.rows);
            table.rows.clear();
            assertTrue(withoutSuspects.stored.step());
            table.rows.putAll(rows);
            int before = table.calls;
            withoutSuspects.stored.storeRestored();
            assertTrue(withoutSuspects.stored.step());
            assertEquals(before, table.calls);
            first.stored.storeRestored();
            for (int i = 0; i < 100; i++) {
                assertTrue(first.stored.step());
                first.ticker.advance(Duration.ofSeconds(1));
            }
            assertEquals(before + 1, table.calls);
        }

        /** Guards against a fleet whose daemons all call the restored store at the same time. */
        @Test
        void checksOfTheFleetAreSpread() {
            List<Daemon> fleet = new ArrayList<>();
            for (int i = 0; i < 95; i++) {
                Daemon daemon = new Daemon(new Random(i));
                daemon.stored.step();
                daemon.stored.storeRestored();
                fleet.add(daemon);
            }
            int callsBefore = table.calls;
            for (int second = 0; second < 3; second++) {
                int before = table.calls;
                for (Daemon d : fleet) {
                    d.stored.step();
                    d.ticker.advance(Duration.ofSeconds(1));
                }
                int calls = table.calls - before;
                assertTrue(second == 0 ? calls == 0 : calls < 60, calls + " calls");
            }
            fleet.forEach(d -> d.stored.step());
            fleet.forEach(d -> d.stored.step());
            assertEquals(callsBefore + fleet.size(), table.calls);
        }

        /** Guards against a released part whose row is back and blocks it at the next start. */
        @Test
        void rowOfAReleasedPartIsRemovedAgain() {
            Map<String, byte[]> copy = saveSixCrashes();
            releaseAndForgetAnnouncement();
            assertTrue(table.rows.isEmpty());
            table.rows.putAll(copy);
            first.stored.storeRestored();
            assertTrue(first.stored.step());
            assertFalse(first.blocks());
            assertTrue(table.rows.isEmpty());
        }

        /** Guards against cleared crashes that block a part again beside too few later ones. */
        @Test
        void rowWithClearedCrashesIsRemovedAlthoughOthersCount() {
            Map<String, byte[]> copy = saveSixCrashes();
            releaseAndForgetAnnouncement();
            first.quarantine.recordCrash(new TargetIncarnation(new TargetId("later"), 1), POISON);
            table.rows.putAll(copy);
            first.stored.storeRestored();
            assertTrue(first.stored.step());
            assertFalse(first.blocks());
            assertTrue(table.rows.isEmpty());
        }

        /** Guards against a whole fleet that believes a daemon which has read the row too soon. */
        @Test
        void daemonThatHasReadTheRowOfAReleasedPartIsCorrected() {
            Map<String, byte[]> copy = saveSixCrashes();
            releaseAndForgetAnnouncement();
            table.rows.putAll(copy);
            Daemon started = new Daemon();
            started.stored.load();
            assertTrue(started.blocks());
            first.quarantine.merge(started.quarantine.evidence());
            assertFalse(first.blocks());
            started.quarantine.merge(first.quarantine.evidence());
            assertFalse(started.blocks());
            // The two daemons agree, so that they have nothing more to announce.
            first.ticker.advance(Duration.ofSeconds(6));
            first.quarantine.merge(started.quarantine.evidence());
            assertTrue(first.quarantine.evidence().isEmpty());
        }

        /** Guards against the removal of valid rows that a daemon has no room to remember. */
        @Test
        void rowsBeyondTheLimitOfSuspectsAreKept() {
            for (int i = 0; i < 300; i++) {
                Daemon daemon = new Daemon();
                List<SuspectId> prompt = List.of(new SuspectId("part-" + i));
                for (int j = 0; j < 3; j++) {
                    TargetId target = new TargetId("t-" + i + "-" + j);
                    daemon.quarantine.recordCrash(new TargetIncarnation(target, 1), prompt);
                }
                assertTrue(daemon.stored.save());
            }
            assertTrue(new Daemon().stored.load());
            assertEquals(301, table.rows.size());
        }

        /** Saves as many crashes as block an answered part; returns a copy of the rows. */
        private Map<String, byte[]> saveSixCrashes() {
            first.crash(6);
            assertTrue(first.stored.step());
            return Map.copyOf(table.rows);
        }

        /** Releases the part; returns when the other daemons are no longer told. */
        private void releaseAndForgetAnnouncement() {
            first.ticker.advance(Duration.ofSeconds(1));
            first.quarantine.recordResponse(POISON, first.ticker.nanos());
            assertTrue(first.stored.step());
            for (int i = 0; i < 120; i++) {
                first.ticker.advance(Duration.ofSeconds(1));
                first.quarantine.evidence();
            }
        }

        /** Guards against a task that does not notice the restore while it waits. */
        @Test
        void runningTaskWritesTheEvidence() {
            Supervisor supervisor = new Supervisor((name, cause, backoff) -> {}, Ticker.SYSTEM);
            Thread task = first.stored.start(supervisor);
            Tasks.sleep(Duration.ofMillis(300));
            table.rows.clear();
            first.stored.storeRestored();
            Instant end = Instant.now().plusSeconds(5);
            while (table.rows.isEmpty() && Instant.now().isBefore(end)) {
                Tasks.sleep(Duration.ofMillis(10));
            }
            assertEquals(1, table.rows.size());
            task.interrupt();
        }
    }

    /** Scenario: the store performs a call later whose response was lost. */
    @Nested
    final class LostResponses {
        private final Daemon daemon = new Daemon();

        @BeforeEach
        void load() {
            assertTrue(daemon.stored.step());
        }

        /** Guards against a released part whose row a late write brings back. */
        @Test
        void lateWriteIsUndone() {
            daemon.crash(3);
            table.loseResponses();
            assertFalse(daemon.stored.step());
            List<Runnable> late = table.delayed;
            table.respond();
            release();
            assertTrue(daemon.stored.step());
            late.forEach(Runnable::run);
            assertEquals(1, table.rows.size());
            daemon.ticker.advance(Duration.ofSeconds(13));
            assertTrue(daemon.stored.step());
            assertTrue(table.rows.isEmpty());
        }

        /** Guards against evidence that a late removal takes away. */
        @Test
        void lateRemovalIsUndone() {
            daemon.crash(3);
            assertTrue(daemon.stored.step());
            release();
            table.loseResponses();
            assertFalse(daemon.stored.step());
            List<Runnable> late = table.delayed;
            table.respond();
            daemon.ticker.advance(Duration.ofSeconds(1));
            for (int i = 0; i < 6; i++) {
                daemon.quarantine.recordCrash(
                        new TargetIncarnation(new TargetId("i-" + i), 2), POISON);
            }
            assertTrue(daemon.stored.step());
            late.forEach(Runnable::run);
            assertTrue(table.rows.isEmpty());
            daemon.ticker.advance(Duration.ofSeconds(13));
            assertTrue(daemon.stored.step());
            assertEquals(1, table.rows.size());
        }

        /** Guards against a late call of which a restore in between makes the daemon forget. */
        @Test
        void restoreDoesNotReplaceTheCheck() {
            daemon.crash(3);
            table.loseResponses();
            assertFalse(daemon.stored.step());
            List<Runnable> late = table.delayed;
            table.respond();
            release();
            daemon.stored.storeRestored();
            assertTrue(daemon.stored.step());
            late.forEach(Runnable::run);
            daemon.ticker.advance(Duration.ofSeconds(13));
            assertTrue(daemon.stored.step());
            assertTrue(table.rows.isEmpty());
        }

        /** Guards against a repeated check after calls that the store has confirmed. */
        @Test
        void oneCheckFollowsAFailure() {
            daemon.crash(3);
            table.loseResponses();
            assertFalse(daemon.stored.step());
            table.respond();
            assertTrue(daemon.stored.step());
            int before = table.calls;
            for (int i = 0; i < 60; i++) {
                daemon.ticker.advance(Duration.ofSeconds(1));
                assertTrue(daemon.stored.step());
            }
            assertEquals(before + 1, table.calls);
        }

        private void release() {
            daemon.ticker.advance(Duration.ofSeconds(1));
            daemon.quarantine.recordResponse(POISON, daemon.ticker.nanos());
        }
    }
}
