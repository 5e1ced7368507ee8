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
    private static final int MOST_ROWS = 512;
    private static final long MOST_BYTES = 2L << 20;
    private static final long NANOS_PER_MS = 1_000_000;

    private final Ticker ticker;

    /** Rows in order of their versions; only the latest row of each key is kept. */
    private final Map<String, FeedRow> rows = new LinkedHashMap<>();

    private boolean known;
    private long floor;
    private OptionalLong wanted = OptionalLong.empty();
    private long version;
    private long knownAt;
    private long bytes;

    /** Creates an empty instance, which relays nothing. */
    public RecentChanges(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Adds a response of the store.
     *
     * @param from version after which changes were requested
     * @param upTo version up to which this daemon had the table before; the version of the response
     *     may be lower if nothing has changed
     * @param at earliest instant at which the store can have sent the response, in nanoseconds
     */
    synchronized void add(long from, long upTo, FeedPage page, long at) {
        if (!known || from != version) {
            restart(from);
        }
        page.rows().forEach(this::put);
        version = Math.max(upTo, page.version());
        knownAt = at;
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
    synchronized long next(long after) {
        long from = wanted.isPresent() ? Math.min(wanted.getAsLong(), after) : after;
        wanted = OptionalLong.empty();
        return from;
    }

    private void restart(long after) {
        rows.clear();
        bytes = 0;
        floor = after;
        known = true;
    }

    private void put(FeedRow row) {
        FeedRow before = rows.remove(row.key());
        bytes += row.value().length - (before == null ? 0 : before.value().length);
        rows.put(row.key(), row);
    }

    private void dropOldest() {
        Iterator<FeedRow> oldest = rows.values().iterator();
        while (rows.size() > MOST_ROWS || bytes > MOST_BYTES) {
            FeedRow row = oldest.next();
            floor = row.version();
            bytes -= row.value().length;
            oldest.remove();
        }
    }

    /** Discards all changes; nothing is relayed until the store has responded again. */
    synchronized void lost() {
        rows.clear();
        bytes = 0;
        known = false;
        notifyAll();
    }

    /**
     * Waits for changes.
     *
     * @param after version up to which the member has the table
     * @param wait maximum time to wait for a change or for an up-to-date copy
     * @param fresh age at which the copy becomes stale
     * @return changes, without rows if nothing has changed; empty if the copy is stale or does not
     *     reach back to the member's version
     * @throws InterruptedException if the waiting task is interrupted
     */
    public synchronized Optional<FeedPage> after(long after, Duration wait, Duration fresh)
            throws InterruptedException {
        if (known && after < floor) {
            wanted = OptionalLong.of(Math.min(after, wanted.orElse(after)));
        }
        long deadline = ticker.nanos() + wait.toNanos();
        while (known && after >= floor) {
            long now = ticker.nanos();
            boolean usable = now - knownAt < fresh.toNanos();
            List<FeedRow> newer = usable ? newer(after) : List.of();
            long left = deadline - now;
            if (!newer.isEmpty() || left <= 0) {
                return usable ? Optional.of(new FeedPage(newer, version)) : Optional.empty();
            }
            wait(left / NANOS_PER_MS + 1);
        }
        return Optional.empty();
    }

    private List<FeedRow> newer(long after) {
        List<FeedRow> newer = new ArrayList<>();
        for (FeedRow row : rows.values()) {
            if (row.version() > after) {
                newer.add(row);
            }
        }
        return newer;
    }
}
