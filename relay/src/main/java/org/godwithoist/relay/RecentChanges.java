package org.godwithoist.relay;

import java.time.Duration;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;

/**
 * The most recent changes of a table, kept by a leader for the members of its failure domain. Once
 * the copy is stale nothing is relayed, so that members of a leader without a connection to the
 * store read from the store themselves. Thread-safe.
 */
public final class RecentChanges {
    private static final int MAX_ROWS = 512;
    private static final long MAX_BYTES = 2L << 20;
    private static final long NANOS_PER_MS = 1_000_000;

    private static final StoreVersion NONE = new StoreVersion(StoreEra.UNKNOWN, 0);

    private final Ticker ticker;

    /** Rows by key in the order of their versions, with only the latest row of each key. */
    private final Map<String, FeedRow> rows = new LinkedHashMap<>();

    private boolean initialized;

    /** Whether the rows are the complete table, so that they replace those of another era. */
    private boolean completeTable;

    /** All changes after this version are retained. */
    private StoreVersion completeAfter = NONE;

    /** Lowest version of a member that could not be served; empty if there is none. */
    private Optional<StoreVersion> requestedAfter = Optional.empty();

    /** Version up to which the changes are known; of the same era as all retained rows. */
    private StoreVersion version = NONE;

    private long currentAt;
    private long bytes;

    /** Creates an empty instance, which relays nothing. */
    public RecentChanges(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Adds a response of the store. All versions are of the same era.
     *
     * @param from version after which changes were requested
     * @param knownVersion version up to which this daemon had the table before; the version of the
     *     response may be lower if nothing has changed
     * @param sentAt earliest instant at which the store can have sent the response, in nanoseconds
     */
    synchronized void add(
            StoreVersion from, StoreVersion knownVersion, FeedPage page, long sentAt) {
        if (!initialized || !from.equals(version)) {
            restart(from);
        }
        page.rows().forEach(this::put);
        version = knownVersion.max(page.version());
        currentAt = sentAt;
        dropOldest();
        notifyAll();
    }

    /**
     * Replaces everything by a complete table, with which members of another era are served too.
     *
     * @param sentAt earliest instant at which the store can have sent the response, in nanoseconds
     */
    synchronized void replaceAll(FeedPage table, long sentAt) {
        restart(table.version());
        completeTable = true;
        table.rows().stream().sorted(Comparator.comparingLong(FeedRow::version)).forEach(this::put);
        version = table.version();
        currentAt = sentAt;
        dropOldest();
        notifyAll();
    }

    /**
     * Returns the version after which to request changes from the store next: that of a member that
     * could not be served because its version is older than the retained changes, or else that of
     * this daemon. Otherwise such a member could never be served while the table does not change.
     *
     * @param after version up to which this daemon has the table
     */
    synchronized StoreVersion nextStoreVersion(StoreVersion after) {
        StoreVersion from = requestedAfter.filter(after::sameEra).map(after::min).orElse(after);
        requestedAfter = Optional.empty();
        return from;
    }

    /**
     * Returns the time since the store can have sent the last response at the earliest; empty if
     * nothing is relayed.
     */
    synchronized Optional<Duration> age() {
        return initialized
                ? Optional.of(Duration.ofNanos(ticker.nanos() - currentAt))
                : Optional.empty();
    }

    private void restart(StoreVersion after) {
        rows.clear();
        bytes = 0;
        completeAfter = after;
        completeTable = false;
        initialized = true;
    }

    private void put(FeedRow row) {
        FeedRow previous = rows.remove(row.key());
        bytes += row.value().length - (previous == null ? 0 : previous.value().length);
        rows.put(row.key(), row);
    }

    private void dropOldest() {
        Iterator<FeedRow> oldest = rows.values().iterator();
        while (rows.size() > MAX_ROWS || bytes > MAX_BYTES) {
            FeedRow row = oldest.next();
            completeAfter = completeAfter.max(new StoreVersion(completeAfter.era(), row.version()));
            completeTable = false;
            bytes -= row.value().length;
            oldest.remove();
        }
    }

    /** Discards all changes; nothing is relayed until the store has responded again. */
    synchronized void invalidate() {
        rows.clear();
        bytes = 0;
        initialized = false;
        notifyAll();
    }

    /**
     * Waits for changes.
     *
     * @param after version up to which the member has the table
     * @param maxWait maximum time to wait for a change or for an up-to-date copy
     * @param maxAge age at which the copy becomes stale
     * @return changes, without rows if nothing has changed; all rows if the member's version is of
     *     an earlier era; empty if the copy is stale or does not reach back to the member's version
     * @throws InterruptedException if the waiting task is interrupted
     */
    public synchronized Optional<FeedPage> awaitChanges(
            StoreVersion after, Duration maxWait, Duration maxAge) throws InterruptedException {
        if (initialized && !reachesBackTo(after) && after.sameEra(version)) {
            requestedAfter = Optional.of(requestedAfter.filter(after::sameEra).orElse(after));
            requestedAfter = requestedAfter.map(after::min);
        }
        long deadline = ticker.nanos() + maxWait.toNanos();
        while (initialized && reachesBackTo(after)) {
            long now = ticker.nanos();
            boolean upToDate = now - currentAt < maxAge.toNanos();
            boolean changed = upToDate && hasNews(after);
            long remaining = deadline - now;
            if (changed || remaining <= 0) {
                return upToDate ? Optional.of(pageAfter(after)) : Optional.empty();
            }
            wait(remaining / NANOS_PER_MS + 1);
        }
        return Optional.empty();
    }

    /** Returns whether a member can be brought up to date with the retained rows. */
    private boolean reachesBackTo(StoreVersion after) {
        if (after.sameEra(version)) {
            return !after.isBefore(completeAfter);
        }
        // A member of a later era knows that the store was restored, and this daemon does not.
        return completeTable && after.era().compareTo(version.era()) < 0;
    }

    private boolean hasNews(StoreVersion after) {
        return !after.sameEra(version) || !pageAfter(after).rows().isEmpty();
    }

    private FeedPage pageAfter(StoreVersion after) {
        FeedPage all = new FeedPage(List.copyOf(rows.values()), version);
        if (after.sameEra(version)) {
            return new FeedPage(all.rowsAfter(after), version);
        }
        List<FeedRow> present = all.rows().stream().filter(r -> !r.deleted()).toList();
        return new FeedPage(present, version);
    }
}
