package org.godwithoist.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.HistoryExpiredException;
import org.godwithoist.store.feed.TableFeed;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link RelayedFeed}. */
final class RelayedFeedTest {
    private static final TableName TABLE = new TableName("targets");
    private static final Endpoint LEADER = new Endpoint("10.0.0.1", 7340);
    private static final Duration LONG_WAIT = Duration.ofSeconds(10);
    private static final Duration STEP = Duration.ofMillis(500);

    /** A store whose answers take the time that they are told to take. */
    private final class Store implements TableFeed {
        private final List<Duration> waits = new ArrayList<>();
        private final List<Long> versions = new ArrayList<>();
        private boolean historyReachesBack = true;
        private boolean answers = true;
        private Duration answerTakes = Duration.ZERO;
        private List<FeedRow> rows = List.of();

        @Override
        public FeedPage readAll() {
            return new FeedPage(rows, 10);
        }

        @Override
        public FeedPage changes(long after, Duration wait)
                throws IOException, HistoryExpiredException {
            waits.add(wait);
            versions.add(after);
            if (after < 10 && !historyReachesBack) {
                throw new HistoryExpiredException("gone");
            }
            ticker.advance(answerTakes);
            if (!answers) {
                throw new IOException("the store is down");
            }
            return new FeedPage(rows, 12);
        }

        @Override
        public void abortRequest() {
            waits.add(Duration.ZERO);
        }
    }

    /** A leader that answers, or does not. */
    private static final class Leader implements RelayClient {
        private int questions;
        private boolean answers = true;

        @Override
        public FeedPage changes(Endpoint leader, Question question, Duration margin)
                throws IOException {
            questions++;
            if (!answers) {
                throw new NoFreshNewsException(question.table());
            }
            return new FeedPage(List.of(), 12);
        }

        @Override
        public void close() {
            answers = false;
        }
    }

    private final VirtualTicker ticker = new VirtualTicker();
    private final Store store = new Store();
    private final Leader leader = new Leader();
    private final RecentChanges recent = new RecentChanges(ticker);
    private Duration news = Duration.ofSeconds(3);
    private Optional<Endpoint> known = Optional.of(LEADER);
    private boolean leads;
    private final Cooldown storeAside = new Cooldown(ticker);
    private final RelayedFeed feed = feed(TABLE);

    private RelayedFeed feed(TableName table) {
        return new RelayedFeed(
                new RelayedFeed.Parts(
                        table,
                        store,
                        recent,
                        leader,
                        storeAside,
                        new Leadership(() -> known, () -> leads),
                        () -> new RelayTiming(news),
                        EventLog.start(OutputStream.nullOutputStream()),
                        ticker));
    }

    private FeedPage ask() throws IOException, HistoryExpiredException {
        return feed.changes(10, LONG_WAIT);
    }

    /** Asks for some time, once in each step; answers that fail are left out. */
    private void askFor(Duration time) throws HistoryExpiredException {
        for (long steps = time.dividedBy(STEP); steps > 0; steps--) {
            try {
                ask();
            } catch (IOException e) {
                assertTrue(!store.answers, e.getMessage());
            }
            ticker.advance(STEP);
        }
    }

    @Nested
    final class SmallFleet {
        /** Guards against a daemon without a leader that asks nobody. */
        @Test
        void storeIsAskedWithTheWholeWait() throws Exception {
            known = Optional.empty();
            ask();
            assertEquals(List.of(LONG_WAIT), store.waits);
            assertEquals(Duration.ofSeconds(1), feed.pace());
        }
    }

    @Nested
    final class Member {
        /** Guards against calls to the store by each daemon of a large fleet. */
        @Test
        void leaderIsAskedAndTheStoreIsNot() throws Exception {
            askFor(Duration.ofSeconds(10));
            assertEquals(List.of(), store.waits);
            assertEquals(20, leader.questions);
            assertEquals(Duration.ZERO, feed.pace());
        }

        /** Guards against waits that are longer than the time in which news must be in force. */
        @Test
        void shortNewsTimeIsKeptByAskingTheStore() throws Exception {
            news = Duration.ofSeconds(1);
            ask();
            assertEquals(0, leader.questions);
            assertEquals(1, store.waits.size());
        }
    }

    /**
     * Pattern: a leader is killed, stands still or is turned away by the store ({@code node_kill},
     * {@code node_freeze}, {@code platform_down} of some hosts).
     */
    @Nested
    final class LeaderWithoutNews {
        /** Guards against news that come late because the leader has none. */
        @Test
        void storeIsAskedAtOnce() throws Exception {
            leader.answers = false;
            store.rows = List.of(new FeedRow("a", new byte[0], 12, false));
            assertEquals(1, ask().rows().size());
        }

        /** Guards against a question to a lost leader before each call to the store. */
        @Test
        void leaderIsAskedAgainAfterAWhile() throws Exception {
            leader.answers = false;
            askFor(Duration.ofSeconds(10));
            assertEquals(5, leader.questions);
            assertEquals(20, store.waits.size());
            leader.answers = true;
            askFor(Duration.ofSeconds(10));
            assertEquals(20, store.waits.size(), "the store is asked while the leader answers");
        }
    }

    /** Pattern: the store is down for all ({@code platform_down}). */
    @Nested
    final class StoreDown {
        /** Guards against a whole fleet that presses on a store that is down. */
        @Test
        void membersLeaveTheStoreToTheLeaderMostOfTheTime() throws Exception {
            leader.answers = false;
            store.answers = false;
            askFor(Duration.ofSeconds(10));
            assertEquals(5, store.waits.size());
        }

        /** Guards against a call for each table while one has shown that the store is down. */
        @Test
        void oneTableAsksForAll() {
            leader.answers = false;
            store.answers = false;
            RelayedFeed other = feed(new TableName("operator"));
            assertThrows(IOException.class, RelayedFeedTest.this::ask);
            assertThrows(IOException.class, () -> other.changes(10, LONG_WAIT));
            assertEquals(1, store.waits.size());
        }

        /** Guards against members that notice the return of the store later than the leader. */
        @Test
        void leaderIsAskedEachTime() throws Exception {
            leader.answers = false;
            store.answers = false;
            assertThrows(IOException.class, RelayedFeedTest.this::ask);
            assertThrows(IOException.class, RelayedFeedTest.this::ask);
            leader.answers = true;
            ask();
            assertEquals(3, leader.questions);
        }
    }

    @Nested
    final class Leading {
        private Optional<FeedPage> passedOn() throws InterruptedException {
            return recent.after(10, Duration.ZERO, new RelayTiming(news).fresh());
        }

        /** Guards against a leader whose knowledge grows old during one long wait. */
        @Test
        void waitIsShortAndChangesArePassedOn() throws Exception {
            leads = true;
            store.rows = List.of(new FeedRow("a", new byte[0], 12, false));
            ask();
            assertEquals(List.of(Duration.ofMillis(500)), store.waits);
            assertEquals(1, passedOn().orElseThrow().rows().size());
            assertEquals(Duration.ofMillis(300), feed.pace());
        }

        /** Guards against a leader that passes on what it knew before it lost the store. */
        @Test
        void nothingIsPassedOnAfterAFailure() throws Exception {
            leads = true;
            ask();
            store.answers = false;
            assertThrows(IOException.class, RelayedFeedTest.this::ask);
            assertTrue(passedOn().isEmpty());
        }

        /**
         * Guards against an answer that was long on its way over a squeezed link and is taken for
         * fresh.
         */
        @Test
        void answerThatArrivesLateIsAsOldAsItsWait() throws Exception {
            leads = true;
            store.answerTakes = Duration.ofMillis(1800);
            ask();
            assertTrue(passedOn().isEmpty());
        }

        /** Guards against rows that the leader takes a second time, as a cold target's entry. */
        @Test
        void rowsAskedForAMemberAreNotTakenAgain() throws Exception {
            leads = true;
            store.rows = List.of(new FeedRow("a", new byte[0], 9, false));
            ask();
            assertTrue(recent.after(8, Duration.ZERO, Duration.ofSeconds(1)).isEmpty());
            assertEquals(List.of(), ask().rows());
            assertEquals(List.of(10L, 8L), store.versions);
            assertEquals(
                    1,
                    recent.after(8, Duration.ZERO, Duration.ofSeconds(1))
                            .orElseThrow()
                            .rows()
                            .size());
        }

        /**
         * Pattern: the store forgets its history ({@code platform_compact}). Guards against a
         * leader that reads its table whole because a member is far behind.
         */
        @Test
        void memberFarBehindDoesNotDisturbTheLeader() throws Exception {
            leads = true;
            store.historyReachesBack = false;
            ask();
            assertTrue(recent.after(3, Duration.ZERO, Duration.ofSeconds(1)).isEmpty());
            assertEquals(List.of(), ask().rows());
            assertEquals(12, ask().version());
            assertEquals(List.of(10L, 3L, 10L), store.versions);
        }

        /** Guards against a daemon that led once and passes on old news. */
        @Test
        void daemonThatNoLongerLeadsPassesNothingOn() throws Exception {
            leads = true;
            ask();
            leads = false;
            ask();
            assertTrue(passedOn().isEmpty());
        }
    }
}
