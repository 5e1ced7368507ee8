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
import java.util.TreeMap;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;
import org.godwithoist.store.feed.WritableTable;
import org.godwithoist.targets.PromptPartId;
import org.godwithoist.targets.TargetIncarnation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link QuarantineTable} with an in-memory table. */
final class QuarantineTableTest {
    private static final List<PromptPartId> POISON = List.of(new PromptPartId("dead"));

    /** A table that can be unavailable. */
    private static final class Table implements WritableTable {
        private final Map<String, byte[]> rows = new TreeMap<>();
        private boolean available = true;

        @Override
        public FeedPage readAll(Duration timeout) throws IOException {
            checkAvailable();
            List<FeedRow> list = new ArrayList<>();
            rows.forEach((key, value) -> list.add(new FeedRow(key, value, 1, false)));
            return new FeedPage(list, new StoreVersion(StoreEra.UNKNOWN, 1));
        }

        @Override
        public void write(String key, byte[] value) throws IOException {
            checkAvailable();
            rows.put(key, value);
        }

        @Override
        public void remove(String key) throws IOException {
            checkAvailable();
            rows.remove(key);
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
        private final QuarantineTable stored =
                new QuarantineTable(
                        quarantine,
                        table,
                        EventLog.start(OutputStream.nullOutputStream()),
                        () -> timeOfDay);

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
}
