package org.godwithoist.store.feed;

import java.io.IOException;
import java.time.Duration;

/** Reads one table of the store. Used by a single task, except for {@link #abortRequest()}. */
public interface TableFeed {
    /** Time until the response begins that {@link #readAll()} allows a slow store. */
    Duration READ_TIMEOUT = Duration.ofSeconds(2);

    /** Reads a consistent snapshot of all rows. */
    default FeedPage readAll() throws IOException {
        return readAll(READ_TIMEOUT);
    }

    /**
     * Reads a consistent snapshot of all rows.
     *
     * @param timeout maximum time until the response begins
     */
    FeedPage readAll(Duration timeout) throws IOException;

    /**
     * Waits for changes. A page of another era than the requested version holds all rows of the
     * table.
     *
     * @param afterVersion version up to which the changes are known
     * @param maxWait maximum time to wait; the page is empty if nothing has changed
     * @throws EraChangedException if the store was restored, so that a new snapshot must be read
     * @throws HistoryExpiredException if a new snapshot must be read
     */
    FeedPage changes(StoreVersion afterVersion, Duration maxWait)
            throws IOException, HistoryExpiredException;

    /**
     * Makes a request in progress fail, so that the follower sends a new one; has no effect without
     * one. May be called by any task.
     */
    void abortRequest();
}
