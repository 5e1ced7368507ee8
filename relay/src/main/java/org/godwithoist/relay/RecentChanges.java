package org.godwithoist.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;

/**
 * The most recent changes of a table, kept by a leader for the members of its failure domain. Once
 * the copy is stale nothing is relayed, so that members of a leader without a connection to the
 * store read from the store themselves. Thread-safe.
 */
public final class RecentChanges {
    private static final int MAX_ROWS = 512;
    private static final long MAX_BYTES = 2L << 20;
    private static final long NANOS_PER_MS = 1_000_000;

    private final Ticker ticker;

    /** Rows by key in the order of their versions, with only the latest row of each key. */
    private final Map<String, FeedRow> rows = new LinkedHashMap<>();

    private boolean initialized;

    /** All changes after this version are retained. */
    private long completeAfter;

    /** Lowest version of a member that could not be served; empty if there is none. */
    private OptionalLong requestedAfter = OptionalLong.empty();

    private long version;
    private long currentAt;
    private long bytes;

    /** Creates an empty instance, which relays nothing. */
    public RecentChanges(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Adds a response of the store.
     *
     * @param from version after which changes were requested
     * @param knownVersion version up to which this daemon had the table before; the version of the
     *     response may be lower if nothing has changed
     * @param sentAt earliest instant at which the store can have sent the response, in nanoseconds
     */
    synchronized void add(long from, long knownVersion, FeedPage page, long sentAt) {
        if (!initialized || from != version) {
            restart(from);
        }
        page.rows().forEach(this::put);
        version = Math.max(knownVersion, page.version());
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
    synchronized long nextStoreVersion(long after) {
        long from =
                requestedAfter.isPresent() ? Math.min(requestedAfter.getAsLong(), after) : after;
        requestedAfter = OptionalLong.empty();
        return from;
    }

    private void restart(long after) {
        rows.clear();
        bytes = 0;
        completeAfter = after;
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
            completeAfter = row.version();
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
     * @return changes, without rows if nothing has changed; empty if the copy is stale or does not
     *     reach back to the member's version
     * @throws InterruptedException if the waiting task is interrupted
     */
    public synchronized Optional<FeedPage> awaitChanges(
            long after, Duration maxWait, Duration maxAge) throws InterruptedException {
        if (initialized && after < completeAfter) {
            requestedAfter = OptionalLong.of(Math.min(after, requestedAfter.orElse(after)));
        }
        long deadline = ticker.nanos() + maxWait.toNanos();
        while (initialized && after >= completeAfter) {
            long now = ticker.nanos();
            boolean upToDate = now - currentAt < maxAge.toNanos();
            List<FeedRow> newer = upToDate ? rowsAfter(after) : List.of();
            long remaining = deadline - now;
            if (!newer.isEmpty() || remaining <= 0) {
                return upToDate ? Optional.of(new FeedPage(newer, version)) : Optional.empty();
            }
            wait(remaining / NANOS_PER_MS + 1);
        }
        return Optional.empty();
    }

    private List<FeedRow> rowsAfter(long after) {
        List<FeedRow> newer = new ArrayList<>();
        for (FeedRow row : rows.values()) {
            if (row.version() > after) {
                newer.add(row);
            }
        }
        return newer;
    }
}
