package org.godwithoist.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.HistoryGoneException;
import org.godwithoist.store.feed.TableFeed;

/**
 * A feed that reads a table from the leader of the failure domain, and from the store while there
 * is no leader or the leader does not respond. Not thread-safe, except for {@link #interrupt()}.
 *
 * <p>A leader that is unresponsive or has lost its connection to the store must not delay updates:
 * its members request them from the store immediately, and retry the leader after a cooldown. If
 * the store does not respond to them either, they mostly leave it to the leader to retry the store,
 * because requests of the whole fleet would overload a store that is recovering.
 */
public final class RelayedFeed implements TableFeed {
    /** Time during which a member reads from the store before it retries its leader. */
    private static final Duration AT_STORE = Duration.ofSeconds(2);

    /** Time during which a member sends no requests to a store that has not responded to it. */
    private static final Duration STORE_LEFT_ALONE = Duration.ofSeconds(2);

    /** Source of the last response. Constants are written to the log by name. */
    private enum Source {
        STORE {
            @Override
            Duration pace(RelayTiming timing) {
                return timing.storePace();
            }
        },
        STORE_AS_LEADER {
            @Override
            Duration pace(RelayTiming timing) {
                return timing.leaderPace();
            }
        },
        LEADER {
            @Override
            Duration pace(RelayTiming timing) {
                return Duration.ZERO;
            }
        };

        abstract Duration pace(RelayTiming timing);
    }

    /**
     * Dependencies of a feed.
     *
     * @param table name of the table in requests to other daemons
     * @param store feed of the table from the store
     * @param recent receives the changes while this daemon is the leader
     * @param client requests changes from the leader
     * @param storeAside cooldown during which members do not use the store, shared by all tables
     * @param leadership current leader
     * @param timing current timing
     */
    public record Parts(
            TableName table,
            TableFeed store,
            RecentChanges recent,
            RelayClient client,
            Cooldown storeAside,
            Leadership leadership,
            Supplier<RelayTiming> timing,
            EventLog log,
            Ticker ticker) {}

    private final Parts parts;
    private final Cooldown leaderAside;
    private Source source = Source.STORE;

    /** Creates a feed; its first source is the store. */
    public RelayedFeed(Parts parts) {
        this.parts = parts;
        leaderAside = new Cooldown(parts.ticker());
    }

    /** Returns the delay between a response with changes and the next request. */
    public Duration pace() {
        return source.pace(parts.timing().get());
    }

    @Override
    public FeedPage readAll() throws IOException {
        parts.recent().lost();
        source(Source.STORE, "the table is read whole");
        return parts.store().readAll();
    }

    @Override
    public FeedPage changes(long after, Duration wait) throws IOException, HistoryGoneException {
        RelayTiming timing = parts.timing().get();
        if (timing.usable() && parts.leadership().leads().getAsBoolean()) {
            return asLeader(after, Durations.min(wait, timing.leaderWait()));
        }
        parts.recent().lost();
        Optional<Endpoint> leader =
                timing.usable() ? parts.leadership().leader().get() : Optional.empty();
        if (leader.isEmpty()) {
            source(Source.STORE, "no leader");
            return parts.store().changes(after, wait);
        }
        return asMember(leader.get(), after, wait);
    }

    // ---- leader

    private FeedPage asLeader(long after, Duration wait) throws IOException, HistoryGoneException {
        source(Source.STORE_AS_LEADER, "this daemon leads");
        long from = parts.recent().next(after);
        long asked = parts.ticker().nanos();
        try {
            FeedPage page = parts.store().changes(from, wait);
            parts.recent().add(from, after, page, heldAt(page, asked, wait));
            return newer(page, after);
        } catch (HistoryGoneException e) {
            parts.recent().lost();
            if (from == after) {
                throw e;
            }
            return new FeedPage(List.of(), after);
        } catch (IOException e) {
            parts.recent().lost();
            throw e;
        }
    }

    /** Removes rows that were requested for a member and that this daemon already has. */
    private static FeedPage newer(FeedPage page, long after) {
        List<FeedRow> rows = page.rows().stream().filter(r -> r.version() > after).toList();
        return new FeedPage(rows, page.version());
    }

    /**
     * Returns the earliest instant at which the store can have sent the response, since its
     * transfer may take long. A response without changes was sent at the end of the wait.
     */
    private long heldAt(FeedPage page, long asked, Duration wait) {
        long earliest = asked + (page.rows().isEmpty() ? wait.toNanos() : 0);
        long now = parts.ticker().nanos();
        return earliest - now < 0 ? earliest : now;
    }

    // ---- member

    private FeedPage asMember(Endpoint leader, long after, Duration wait)
            throws IOException, HistoryGoneException {
        if (!leaderAside.active()) {
            Optional<FeedPage> page = fromLeader(leader, after, wait);
            if (page.isPresent()) {
                return page.get();
            }
        }
        if (parts.storeAside().active()) {
            leaderAside.end();
            throw new IOException("neither the leader " + leader + " nor the store has answered");
        }
        return besideLeader(after, Durations.min(wait, AT_STORE));
    }

    private Optional<FeedPage> fromLeader(Endpoint leader, long after, Duration wait) {
        RelayTiming timing = parts.timing().get();
        Duration shortWait = Durations.min(wait, timing.memberWait());
        RelayClient.Question question = new RelayClient.Question(parts.table(), after, shortWait);
        try {
            FeedPage page = parts.client().changes(leader, question, timing.answerMargin());
            source(Source.LEADER, leader.toString());
            parts.storeAside().end();
            return Optional.of(page);
        } catch (IOException e) {
            source(Source.STORE, leader + ": " + e.getMessage());
            return Optional.empty();
        }
    }

    private FeedPage besideLeader(long after, Duration wait)
            throws IOException, HistoryGoneException {
        try {
            FeedPage page = parts.store().changes(after, wait);
            if (!leaderAside.active()) {
                leaderAside.start(AT_STORE);
            }
            return page;
        } catch (IOException e) {
            leaderAside.end();
            parts.storeAside().start(STORE_LEFT_ALONE);
            throw e;
        }
    }

    @Override
    public void interrupt() {
        parts.store().interrupt();
    }

    private void source(Source next, String reason) {
        if (source == next) {
            return;
        }
        source = next;
        parts.log()
                .event("news_source")
                .with("table", parts.table().value())
                .with("source", next.name())
                .with("reason", reason)
                .write();
    }
}
