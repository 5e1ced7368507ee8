package org.godwithoist.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.feed.EraChangedException;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.HistoryExpiredException;
import org.godwithoist.store.feed.StoreEras;
import org.godwithoist.store.feed.StoreVersion;
import org.godwithoist.store.feed.TableFeed;

/**
 * A feed that reads a table from the leader of the failure domain, and from the store while there
 * is no leader or the leader does not respond. Not thread-safe, except for {@link #abortRequest()}.
 *
 * <p>A leader that is unresponsive or has lost its connection to the store must not delay updates:
 * its members request them from the store immediately, and retry the leader after a cooldown. If
 * the store does not respond to them either, they mostly leave it to the leader to retry the store,
 * because requests of the whole fleet would overload a store that is recovering.
 *
 * <p>A daemon that received no response for some time reads what it missed as its {@link CatchUp}
 * says.
 */
public final class RelayedFeed implements TableFeed {
    /** Time during which a member reads from the store before it retries its leader. */
    private static final Duration LEADER_COOLDOWN = Duration.ofSeconds(2);

    /** Time during which a member sends no requests to a store that has not responded to it. */
    private static final Duration STORE_COOLDOWN = Duration.ofSeconds(2);

    /**
     * Time in addition to its wait within which a request is normally followed by the next one. A
     * daemon that takes longer was suspended, or its link is slow, and it has missed changes.
     */
    private static final Duration MAX_REQUEST_GAP = Duration.ofSeconds(3);

    /** Source of the last response. Constants are written to the log by name. */
    private enum Source {
        STORE {
            @Override
            Duration pollDelay(RelayTiming timing, Optional<Duration> age) {
                return timing.storePollDelay();
            }
        },
        STORE_AS_LEADER {
            @Override
            Duration pollDelay(RelayTiming timing, Optional<Duration> age) {
                return timing.leaderPollDelay(age);
            }
        },
        LEADER {
            @Override
            Duration pollDelay(RelayTiming timing, Optional<Duration> age) {
                return Duration.ZERO;
            }
        };

        /**
         * Returns the delay before the next request.
         *
         * @param age age of this daemon's copy; empty if it has none
         */
        abstract Duration pollDelay(RelayTiming timing, Optional<Duration> age);
    }

    /**
     * Dependencies of a feed.
     *
     * @param table name of the table in requests to other daemons
     * @param catchUp how missed changes are read at the store
     * @param store feed of the table from the store
     * @param recent receives the changes while this daemon is the leader
     * @param client requests changes from the leader
     * @param storeCooldown cooldown during which members do not use the store, shared by all tables
     * @param leadership current leader
     * @param timing current timing
     */
    public record Dependencies(
            TableName table,
            CatchUp catchUp,
            TableFeed store,
            RecentChanges recent,
            RelayClient client,
            Cooldown storeCooldown,
            Leadership leadership,
            StoreEras eras,
            Supplier<RelayTiming> timing,
            EventLog log,
            Ticker ticker) {}

    private final Dependencies dependencies;
    private final Cooldown leaderCooldown;
    private Source source = Source.STORE;
    private final Set<String> knownKeys = new HashSet<>();
    private boolean behind;

    /** Instant by which the next request is expected, in nanoseconds; empty before the first. */
    private OptionalLong nextRequestBy = OptionalLong.empty();

    /** Creates a feed; its first source is the store. */
    public RelayedFeed(Dependencies dependencies) {
        this.dependencies = dependencies;
        leaderCooldown = new Cooldown(dependencies.ticker());
    }

    /** Returns the delay between a response with changes and the next request. */
    public Duration pollDelay() {
        return source.pollDelay(dependencies.timing().get(), dependencies.recent().age());
    }

    @Override
    public FeedPage readAll(Duration timeout) throws IOException {
        dependencies.recent().invalidate();
        setSource(Source.STORE, "the complete table is read");
        long requestedAt = dependencies.ticker().nanos();
        FeedPage page = dependencies.store().readAll(timeout);
        if (isLeader(dependencies.timing().get())) {
            dependencies.recent().replaceAll(page, requestedAt);
        }
        knownKeys.clear();
        recordResponse(page);
        return page;
    }

    @Override
    public FeedPage changes(StoreVersion after, Duration wait)
            throws IOException, HistoryExpiredException {
        long now = dependencies.ticker().nanos();
        behind = behind || (nextRequestBy.isPresent() && now - nextRequestBy.getAsLong() > 0);
        Duration boundedWait = behind ? Duration.ZERO : wait;
        nextRequestBy = OptionalLong.of(now + boundedWait.plus(MAX_REQUEST_GAP).toNanos());
        try {
            FeedPage page = changesFromSource(after, boundedWait);
            if (!page.version().sameEra(after)) {
                knownKeys.clear();
            }
            recordResponse(page);
            return page;
        } catch (IOException e) {
            behind = true;
            throw e;
        }
    }

    private void recordResponse(FeedPage page) {
        behind = false;
        dependencies.catchUp().recordKeys(page.rows(), knownKeys);
    }

    private FeedPage changesFromSource(StoreVersion after, Duration wait)
            throws IOException, HistoryExpiredException {
        RelayTiming timing = dependencies.timing().get();
        if (isLeader(timing)) {
            Duration leaderWait = timing.leaderWait(dependencies.recent().age());
            return changesAsLeader(after, Durations.min(wait, leaderWait));
        }
        dependencies.recent().invalidate();
        Optional<Endpoint> leader =
                timing.allowsRelay() ? dependencies.leadership().leader().get() : Optional.empty();
        if (leader.isEmpty()) {
            setSource(Source.STORE, "no leader");
            return changesFromStore(after, wait);
        }
        return changesAsMember(leader.get(), after, wait);
    }

    private boolean isLeader(RelayTiming timing) {
        return timing.allowsRelay() && dependencies.leadership().isLeader().getAsBoolean();
    }

    private FeedPage changesFromStore(StoreVersion after, Duration wait)
            throws IOException, HistoryExpiredException {
        return behind
                ? dependencies.catchUp().read(dependencies.store(), after, knownKeys)
                : dependencies.store().changes(after, wait);
    }

    // ---- leader

    private FeedPage changesAsLeader(StoreVersion after, Duration wait)
            throws IOException, HistoryExpiredException {
        setSource(Source.STORE_AS_LEADER, "this daemon is the leader");
        // What is missed is read from the version of the known rows.
        StoreVersion from = behind ? after : dependencies.recent().nextStoreVersion(after);
        long requestedAt = dependencies.ticker().nanos();
        try {
            FeedPage page = changesFromStore(from, wait);
            if (!page.version().sameEra(after)) {
                dependencies.recent().replaceAll(page, requestedAt);
                return page;
            }
            dependencies.recent().add(from, after, page, earliestSentAt(page, requestedAt, wait));
            return withoutKnownRows(page, after);
        } catch (EraChangedException e) {
            dependencies.recent().invalidate();
            throw e;
        } catch (HistoryExpiredException e) {
            dependencies.recent().invalidate();
            if (from.equals(after)) {
                throw e;
            }
            return new FeedPage(List.of(), after);
        } catch (IOException e) {
            dependencies.recent().invalidate();
            throw e;
        }
    }

    /** Removes rows that were requested for a member and that this daemon already has. */
    private static FeedPage withoutKnownRows(FeedPage page, StoreVersion after) {
        return new FeedPage(page.rowsAfter(after), page.version());
    }

    /**
     * Returns the earliest instant at which the store can have sent the response, since its
     * transfer may take long. A response without changes was sent at the end of the wait.
     */
    private long earliestSentAt(FeedPage page, long requestedAt, Duration wait) {
        long earliest = requestedAt + (page.rows().isEmpty() ? wait.toNanos() : 0);
        long now = dependencies.ticker().nanos();
        return earliest - now < 0 ? earliest : now;
    }

    // ---- member

    private FeedPage changesAsMember(Endpoint leader, StoreVersion after, Duration wait)
            throws IOException, HistoryExpiredException {
        if (!leaderCooldown.active()) {
            Optional<FeedPage> page = requestFromLeader(leader, after, wait);
            if (page.isPresent()) {
                return page.get();
            }
            // Starts before the request to the store, which in a quiet table takes as long as the
            // cooldown: each of them would extend a cooldown that starts with the response.
            leaderCooldown.start(LEADER_COOLDOWN);
        }
        if (dependencies.storeCooldown().active()) {
            leaderCooldown.end();
            throw new IOException(
                    "leader "
                            + leader
                            + " is unavailable, and the store is not retried yet after a failed request");
        }
        return requestFromStore(after, Durations.min(wait, LEADER_COOLDOWN));
    }

    private Optional<FeedPage> requestFromLeader(
            Endpoint leader, StoreVersion after, Duration wait) {
        RelayTiming timing = dependencies.timing().get();
        Duration boundedWait = Durations.min(wait, timing.maxMemberWait());
        RelayClient.Request request =
                new RelayClient.Request(dependencies.table(), after, boundedWait);
        try {
            FeedPage page = dependencies.client().changes(leader, request, timing.responseMargin());
            dependencies.eras().acceptRelayed(page.version().era());
            setSource(Source.LEADER, leader.toString());
            dependencies.storeCooldown().end();
            return Optional.of(page);
        } catch (IOException e) {
            setSource(Source.STORE, leader + ": " + e.getMessage());
            return Optional.empty();
        }
    }

    private FeedPage requestFromStore(StoreVersion after, Duration wait)
            throws IOException, HistoryExpiredException {
        try {
            return changesFromStore(after, wait);
        } catch (IOException e) {
            leaderCooldown.end();
            dependencies.storeCooldown().start(STORE_COOLDOWN);
            throw e;
        }
    }

    @Override
    public void abortRequest() {
        dependencies.store().abortRequest();
    }

    private void setSource(Source next, String reason) {
        if (source == next) {
            return;
        }
        source = next;
        dependencies
                .log()
                .event("news_source")
                .with("table", dependencies.table().value())
                .with("source", next.name())
                .with("reason", reason)
                .write();
    }
}
