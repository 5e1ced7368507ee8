package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link FleetList} with a fleet that grows while the store is restored, in virtual time. */
final class FleetListRestoreTest {
    private static final Duration END = Duration.ofMinutes(3);
    private static final Duration STARTUP_DELAY = Duration.ofMillis(700);

    /** Time for which every daemon calls the store at least once. */
    private static final Duration LISTED_WITHIN = Duration.ofSeconds(20);

    private static final int LIMIT = 1_000_000;
    private static final int MAX_DAEMONS = 12;

    /** A store that is away from time to time and comes back from an older copy. */
    private final class RestoredTable implements WritableTable {
        /** Rows by the time of the change after which they were so. */
        private final NavigableMap<Long, Map<String, byte[]>> history = new TreeMap<>();

        private boolean available = true;
        private long restoredAt;

        private RestoredTable() {
            history.put(-1L, Map.of());
        }

        private Map<String, byte[]> rows() {
            return history.lastEntry().getValue();
        }

        private void restore(long copiedAt) {
            Map<String, byte[]> copy = history.floorEntry(Math.max(-1, copiedAt)).getValue();
            history.put(ticker.nanos(), copy);
            available = true;
            restoredAt = ticker.nanos();
        }

        @Override
        public FeedPage readAll(Duration timeout) throws IOException {
            checkAvailable();
            List<FeedRow> list = new ArrayList<>();
            rows().forEach((key, value) -> list.add(new FeedRow(key, value, 1, false)));
            return new FeedPage(list, new StoreVersion(StoreEra.UNKNOWN, 1));
        }

        @Override
        public void write(String key, byte[] value) throws IOException {
            checkAvailable();
            Map<String, byte[]> next = new TreeMap<>(rows());
            next.put(key, value);
            history.put(ticker.nanos(), next);
        }

        private void checkAvailable() throws IOException {
            if (!available) {
                throw new IOException("the store is away");
            }
        }

        @Override
        public void remove(String key) {
            throw new UnsupportedOperationException("rows of the list are not removed");
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

    /** A daemon and the time of its next poll. */
    private final class Daemon {
        private final FleetList list;
        private long nextPollAt;
        private boolean hasPolled;

        private Daemon(int number, Random random) {
            list =
                    new FleetList(
                            new Member(
                                    new HostId("edge-" + number),
                                    new FailureDomainId("north"),
                                    new Endpoint("10.0.0." + number, 7340)),
                            MAX_DAEMONS,
                            table,
                            members -> {},
                            EventLog.start(OutputStream.nullOutputStream()),
                            ticker,
                            random);
            pollIn(STARTUP_DELAY);
        }

        private void pollIn(Duration delay) {
            nextPollAt = ticker.nanos() + delay.toNanos();
        }

        private void storeRestored() {
            Duration remaining = Duration.ofNanos(nextPollAt - ticker.nanos());
            pollIn(list.delayAfterRestore(remaining));
        }

        private void poll() {
            pollIn(list.poll());
            hasPolled |= table.available;
        }
    }

    private final VirtualTicker ticker = new VirtualTicker();
    private final RestoredTable table = new RestoredTable();
    private final List<Daemon> fleet = new ArrayList<>();

    /** Events by their time in nanoseconds. */
    private final NavigableMap<Long, Runnable> events = new TreeMap<>();

    private void advanceTo(long time) {
        ticker.advance(Duration.ofNanos(time - ticker.nanos()));
    }

    /** Runs all events and polls up to the end, and checks the shares after each of them. */
    private void run(String description) {
        while (true) {
            Daemon next =
                    fleet.stream().min(Comparator.comparingLong(d -> d.nextPollAt)).orElseThrow();
            long eventAt = events.isEmpty() ? Long.MAX_VALUE : events.firstKey();
            long time = Math.min(eventAt, next.nextPollAt);
            if (time > END.toNanos()) {
                return;
            }
            advanceTo(time);
            if (time == eventAt) {
                events.pollFirstEntry().getValue().run();
            } else {
                next.poll();
            }
            checkShares(description);
        }
    }

    /** Checks the daemons that serve; one that has not read the list yet has just started. */
    private void checkShares(String description) {
        long sum =
                fleet.stream()
                        .filter(d -> d.hasPolled)
                        .mapToLong(d -> d.list.share().of(LIMIT, 0))
                        .sum();
        // Daemons that count differently may each get a unit of the remainder.
        assertTrue(
                sum <= LIMIT + MAX_DAEMONS,
                description + ": shares of " + sum + " at " + Duration.ofNanos(ticker.nanos()));
    }

    /** Checks that a restore was followed by the writes of all daemons. */
    private void checkListed(List<Daemon> daemons, long restoredAt) {
        if (table.restoredAt == restoredAt) {
            assertTrue(table.rows().size() >= daemons.size());
        }
    }

    @Nested
    final class GrowingFleet {
        /**
         * Guards against shares above the limit, and against daemons that stay unlisted, after
         * restores at any moment of a fleet's growth, of which only some daemons are told.
         */
        @ParameterizedTest
        @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 17, 19, 31, 32, 62, 68, 73, 87})
        void sharesKeepTheLimitAndAllAreListedAgain(int seed) {
            Random random = new Random(seed);
            Daemon first = new Daemon(1, new Random(seed));
            fleet.add(first);
            long growthEnds = Duration.ofSeconds(90).toNanos();
            for (int i = 2; i <= MAX_DAEMONS; i++) {
                int number = i;
                long at = Duration.ofSeconds(20).toNanos() + random.nextLong(growthEnds);
                events.put(at, () -> fleet.add(new Daemon(number, new Random(seed + number))));
            }
            for (int i = 0; i < 3; i++) {
                addRestore(Duration.ofSeconds(25 + 35 * i).toNanos(), random);
            }
            run("seed " + seed);
            assertEquals(MAX_DAEMONS, table.rows().size());
            for (Daemon d : fleet) {
                assertEquals(MAX_DAEMONS, d.list.share().members());
                assertTrue(d.list.share().of(LIMIT, 0) > 0);
            }
        }

        /** Adds a restore from a copy of up to 10 s, after up to 2 s without the store. */
        private void addRestore(long earliest, Random random) {
            long awayAt = earliest + random.nextLong(Duration.ofSeconds(30).toNanos());
            long backAt = awayAt + 1 + random.nextLong(Duration.ofSeconds(2).toNanos());
            long copiedAt = awayAt - random.nextLong(Duration.ofSeconds(10).toNanos());
            events.put(awayAt, () -> table.available = false);
            events.put(
                    backAt,
                    () -> {
                        table.restore(copiedAt);
                        fleet.stream()
                                .filter(d -> random.nextBoolean())
                                .forEach(d -> d.storeRestored());
                        long listedBy = backAt + LISTED_WITHIN.toNanos();
                        List<Daemon> listed = List.copyOf(fleet);
                        events.put(listedBy, () -> checkListed(listed, backAt));
                    });
        }
    }
}
