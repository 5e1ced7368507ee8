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
import org.godwithoist.store.feed.HistoryExpiredException;
import org.godwithoist.store.feed.TableFeed;

/**
 * A table that is followed at the leader of the failure domain, and at the store while there is no
 * leader, or none that answers. Used by one task but for {@link #abortRequest()}.
 *
 * <p>A leader that is silent or has lost the store must not delay news: its members ask the store
 * at once, and the leader again after a while. If the store does not answer them either, they leave
 * the store to the leader for most of the time, because the calls of a whole fleet would only press
 * on a store that is down.
 */
public final class RelayedFeed implements TableFeed {
    /** A member that had to ask the store itself stays there for this long. */
    private static final Duration AT_STORE = Duration.ofSeconds(2);

    /** A member that the store did not answer leaves it alone for this long. */
    private static final Duration STORE_LEFT_ALONE = Duration.ofSeconds(2);

    /** From where the last answer came. */
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
     * What a feed works with.
     *
     * @param table name of the table for other daemons
     * @param store the table at the store
     * @param recent takes the changes while this daemon leads
     * @param client asks the leader
     * @param storeAside span during which members leave the store alone, the same for all tables
     * @param leadership who leads
     * @param timing times in force
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

    /** Makes a feed that asks the store first. */
    public RelayedFeed(Parts parts) {
        this.parts = parts;
        leaderAside = new Cooldown(parts.ticker());
    }

    /** Returns the time between an answer with changes and the next call. */
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
    public FeedPage changes(long after, Duration wait) throws IOException, HistoryExpiredException {
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

    private FeedPage asLeader(long after, Duration wait)
            throws IOException, HistoryExpiredException {
        source(Source.STORE_AS_LEADER, "this daemon leads");
        long from = parts.recent().next(after);
        long asked = parts.ticker().nanos();
        try {
            FeedPage page = parts.store().changes(from, wait);
            parts.recent().add(from, after, page, heldAt(page, asked, wait));
            return newer(page, after);
        } catch (HistoryExpiredException e) {
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

    /** Leaves out rows that this daemon has had, which were asked for a member. */
    private static FeedPage newer(FeedPage page, long after) {
        List<FeedRow> rows = page.rows().stream().filter(r -> r.version() > after).toList();
        return new FeedPage(rows, page.version());
    }

    /**
     * Returns the earliest instant at which the store can have answered. An answer may be long on
     * its way; one without changes left the store at the end of the wait.
     */
    private long heldAt(FeedPage page, long asked, Duration wait) {
        long earliest = asked + (page.rows().isEmpty() ? wait.toNanos() : 0);
        long now = parts.ticker().nanos();
        return earliest - now < 0 ? earliest : now;
    }

    // ---- member

    private FeedPage asMember(Endpoint leader, long after, Duration wait)
            throws IOException, HistoryExpiredException {
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
            throws IOException, HistoryExpiredException {
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
    public void abortRequest() {
        parts.store().abortRequest();
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
