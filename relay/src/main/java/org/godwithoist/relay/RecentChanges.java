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
 * The last changes of a table that the store has told this daemon, for the daemons that follow the
 * table here. It passes nothing on once its knowledge is old, so that a leader which has lost the
 * store holds nobody back. Thread-safe.
 */
public final class RecentChanges {
    private static final int MOST_ROWS = 512;
    private static final long MOST_BYTES = 2L << 20;
    private static final long NANOS_PER_MS = 1_000_000;

    private final Ticker ticker;

    /** Rows in the order of their versions, each key once. */
    private final Map<String, FeedRow> rows = new LinkedHashMap<>();

    private boolean known;
    private long floor;
    private OptionalLong wanted = OptionalLong.empty();
    private long version;
    private long knownAt;
    private long bytes;

    /** Makes an empty list that passes nothing on. */
    public RecentChanges(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Adds an answer of the store.
     *
     * @param from version from which the changes were asked for
     * @param upTo version up to which this daemon knew the table before; the answer itself may bear
     *     a lower one if nothing has changed
     * @param at instant at which the store held no other changes, at the earliest, in nanoseconds
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
     * Returns the version from which to ask the store next: that of a member which could not be
     * served because it is behind the first answer, or else that of this daemon. A table that does
     * not change would otherwise keep such members away for good.
     *
     * @param after version up to which this daemon knows the table
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

    /** Passes nothing on until the store has answered again. */
    synchronized void lost() {
        rows.clear();
        bytes = 0;
        known = false;
        notifyAll();
    }

    /**
     * Waits for changes.
     *
     * @param after version up to which the caller knows the table
     * @param wait longest time to wait for a change, or for fresh knowledge
     * @param fresh age from which knowledge is not passed on
     * @return changes, none if nothing has changed; empty if this daemon cannot tell
     * @throws InterruptedException if the waiting task is to end
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
