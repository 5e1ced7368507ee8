package org.godwithoist.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.HistoryExpiredException;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreEras;
import org.godwithoist.store.feed.StoreVersion;
import org.godwithoist.store.feed.TableFeed;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests a fleet of daemons that follow one table, in virtual time. */
final class RelayFleetTest {
    private static final TableName TABLE = new TableName("targets");
    private static final RelayTiming TIMING = new RelayTiming(Duration.ofSeconds(3));
    private static final int DAEMONS = 72;
    private static final int DOMAINS = 3;

    private static StoreVersion version(long number) {
        return new StoreVersion(new StoreEra(1), number);
    }

    /** A store that counts the requests of the fleet. */
    private static final class Store implements TableFeed {
        private final List<FeedRow> rows = new ArrayList<>();
        private int requests;

        void addRow() {
            long version = rows.size() + 1L;
            rows.add(new FeedRow("target-" + version, new byte[0], version, false));
        }

        @Override
        public FeedPage readAll(Duration timeout) {
            return new FeedPage(List.copyOf(rows), version(rows.size()));
        }

        @Override
        public FeedPage changes(StoreVersion after, Duration wait) {
            requests++;
            return new FeedPage(
                    List.copyOf(rows.subList((int) after.number(), rows.size())),
                    version(rows.size()));
        }

        @Override
        public void abortRequest() {
            requests++;
        }
    }

    private final class Daemon implements RelayClient {
        private final Endpoint address;
        private final Endpoint leader;
        private final RecentChanges recent = new RecentChanges(ticker);
        private final RelayedFeed feed;
        private long version;
        private int rows;

        Daemon(int number) {
            address = new Endpoint("10.0.0.1", 7000 + number);
            leader = new Endpoint("10.0.0.1", 7000 + number % DOMAINS);
            feed =
                    new RelayedFeed(
                            new RelayedFeed.Dependencies(
                                    TABLE,
                                    CatchUp.MISSED_CHANGES,
                                    store,
                                    recent,
                                    this,
                                    new Cooldown(ticker),
                                    new Leadership(
                                            () -> Optional.of(leader),
                                            () -> address.equals(leader)),
                                    new StoreEras(new IgnoredEras(), ticker),
                                    () -> TIMING,
                                    EventLog.start(OutputStream.nullOutputStream()),
                                    ticker));
            fleet.put(address, this);
        }

        void poll() throws IOException, HistoryExpiredException {
            FeedPage page = feed.changes(version(version), Duration.ofSeconds(10));
            version = Math.max(version, page.version().number());
            rows += page.rows().size();
        }

        @Override
        public FeedPage changes(Endpoint leaderAddress, Request request, Duration margin)
                throws IOException {
            try {
                return fleet.get(leaderAddress)
                        .recent
                        .awaitChanges(request.after(), Duration.ZERO, TIMING.maxAge())
                        .orElseThrow(() -> new StaleCopyException(request.table()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }

        @Override
        public void close() {
            recent.invalidate();
        }
    }

    private final VirtualTicker ticker = new VirtualTicker();
    private final Store store = new Store();
    private final Map<Endpoint, Daemon> fleet = new HashMap<>();

    /** Scenario: runners are replaced one after the other ({@code release}) in a large fleet. */
    @Nested
    final class ManyChanges {
        /** Guards against a number of store requests that grows with the number of daemons. */
        @Test
        void storeRequestsGrowWithTheDomainsAndAllDaemonsReceiveAllChanges() throws Exception {
            List<Daemon> daemons = new ArrayList<>();
            for (int i = 0; i < DAEMONS; i++) {
                daemons.add(new Daemon(i));
            }
            int changeCount = 100;
            for (int i = 0; i < changeCount; i++) {
                store.addRow();
                for (Daemon d : daemons) {
                    d.poll();
                }
                ticker.advance(Duration.ofMillis(300));
            }
            assertEquals(DOMAINS * changeCount, store.requests);
            for (Daemon d : daemons) {
                assertEquals(changeCount, d.rows);
            }
        }
    }
}
