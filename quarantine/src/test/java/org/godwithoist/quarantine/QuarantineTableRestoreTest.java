package org.godwithoist.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;
import org.godwithoist.store.feed.WritableTable;
import org.godwithoist.targets.TargetIncarnation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests {@link QuarantineTable} with several daemons and a store that is away, loses responses and
 * is restored, in virtual time.
 */
final class QuarantineTableRestoreTest {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int STEPS_PER_SECOND = 10;
    private static final int BUSY_SECONDS = 60;

    /** Time for calls that take effect late and for the checks that follow them. */
    private static final int QUIET_SECONDS = 60;

    private static final int DAEMONS = 4;
    private static final List<String> PARTS = List.of("p1", "p2", "p3");

    /** A store that performs calls whose responses are lost now, later or never. */
    private final class UnreliableTable implements WritableTable {
        private final Random random;
        private final Map<String, byte[]> rows = new TreeMap<>();
        private final NavigableMap<Long, Map<String, byte[]>> copies = new TreeMap<>();
        private final NavigableMap<Long, Runnable> late = new TreeMap<>();
        private boolean available = true;
        private boolean losesResponses;

        private UnreliableTable(Random random) {
            this.random = random;
        }

        private void advance() {
            while (!late.isEmpty() && late.firstKey() <= ticker.nanos()) {
                late.pollFirstEntry().getValue().run();
            }
            copies.put(ticker.nanos(), Map.copyOf(rows));
        }

        private void restore() {
            long copiedAt = ticker.nanos() - random.nextLong(Duration.ofSeconds(10).toNanos());
            Map.Entry<Long, Map<String, byte[]>> copy = copies.floorEntry(copiedAt);
            rows.clear();
            if (copy != null) {
                rows.putAll(copy.getValue());
            }
        }

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
            if (!losesResponses || random.nextBoolean()) {
                change.run();
                return;
            }
            if (random.nextBoolean()) {
                late.put(ticker.nanos() + random.nextLong(5_000_000_000L), change);
            }
            throw new IOException("no response");
        }

        private void checkAvailable() throws IOException {
            if (!available) {
                throw new IOException("the store is away");
            }
        }

        @Override
        public FeedPage changes(StoreVersion after, Duration wait) {
            throw new UnsupportedOperationException("not used");
        }

        @Override
        public void abortRequest() {
            throw new UnsupportedOperationException("not used");
        }
    }

    private final class Daemon {
        private final Quarantine quarantine =
                new Quarantine(EventLog.start(OutputStream.nullOutputStream()), ticker);
        private final QuarantineTable stored;
        private long nextStepAt = ticker.nanos();

        private Daemon(UnreliableTable table, Random random) {
            stored =
                    new QuarantineTable(
                            quarantine,
                            table,
                            EventLog.start(OutputStream.nullOutputStream()),
                            () -> Instant.EPOCH.plusNanos(ticker.nanos()),
                            ticker,
                            random);
        }

        private void step() {
            if (ticker.nanos() >= nextStepAt && !stored.step()) {
                nextStepAt = ticker.nanos() + Duration.ofSeconds(1).toNanos();
            }
        }

        private Set<String> blocked() {
            Set<String> blocked = new TreeSet<>();
            for (String part : PARTS) {
                if (quarantine.remaining(prompt(part)).isPresent()) {
                    blocked.add(part);
                }
            }
            return blocked;
        }
    }

    private final VirtualTicker ticker = new VirtualTicker();

    private static List<SuspectId> prompt(String part) {
        return List.of(new SuspectId(part));
    }

    /**
     * A random day of a fleet without restarts: a daemon that ends while its call may still take
     * effect cannot check the row.
     */
    private final class Day {
        private final Random random;
        private final UnreliableTable table;
        private final List<Daemon> fleet = new ArrayList<>();
        private int crashes;

        private Day(int seed) {
            random = new Random(seed);
            table = new UnreliableTable(random);
            for (int i = 0; i < DAEMONS; i++) {
                fleet.add(new Daemon(table, random));
            }
        }

        private void run() {
            for (int second = 0; second < BUSY_SECONDS + QUIET_SECONDS; second++) {
                if (second < BUSY_SECONDS) {
                    addEvent();
                } else {
                    endFaults();
                }
                for (int i = 0; i < STEPS_PER_SECOND; i++) {
                    ticker.advance(STEP);
                    table.advance();
                    fleet.forEach(Daemon::step);
                }
                exchangeEvidence();
            }
        }

        private void addEvent() {
            Daemon daemon = fleet.get(random.nextInt(DAEMONS));
            List<SuspectId> part = prompt(PARTS.get(random.nextInt(PARTS.size())));
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> {
                    for (int i = 0; i < 3; i++) {
                        TargetId target = new TargetId("i-" + crashes++);
                        daemon.quarantine.recordCrash(new TargetIncarnation(target, 1), part);
                    }
                }
                case 3 -> daemon.quarantine.recordResponse(part, ticker.nanos());
                case 4 -> table.losesResponses = !table.losesResponses;
                case 5, 6 -> table.available = false;
                default -> endOutage();
            }
        }

        private void endOutage() {
            if (!table.available) {
                table.available = true;
                table.restore();
                fleet.forEach(d -> d.stored.storeRestored());
            }
        }

        private void endFaults() {
            table.losesResponses = false;
            endOutage();
        }

        private void exchangeEvidence() {
            List<Collection<SuspectEvidence>> messages = new ArrayList<>();
            fleet.forEach(d -> messages.add(d.quarantine.evidence()));
            fleet.forEach(d -> messages.forEach(d.quarantine::merge));
        }
    }

    @Nested
    final class Fleet {
        /** Guards against rows that differ from what the daemons know once all faults are over. */
        @ParameterizedTest
        @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 21, 30, 40, 51, 54, 69, 81, 96})
        void storedEvidenceAgreesWithTheDaemonsInTheEnd(int seed) {
            Day day = new Day(seed);
            day.run();
            Set<String> blocked = day.fleet.getFirst().blocked();
            day.fleet.forEach(d -> assertEquals(blocked, d.blocked()));
            Daemon started = new Daemon(day.table, new Random(seed));
            started.step();
            assertEquals(blocked, started.blocked());
        }
    }
}
