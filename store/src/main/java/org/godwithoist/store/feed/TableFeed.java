package org.godwithoist.store.feed;

import java.io.IOException;
import java.time.Duration;

/** Reads one table of the store. Used by a single task, except for {@link #abortRequest()}. */
public interface TableFeed {
    /** Reads a consistent snapshot of all rows. */
    FeedPage readAll() throws IOException;

    /**
     * Waits for changes.
     *
     * @param afterVersion version up to which the changes are known
     * @param maxWait maximum time to wait; the page is empty if nothing has changed
     * @throws HistoryExpiredException if a new snapshot must be read
     */
    FeedPage changes(long afterVersion, Duration maxWait)
            throws IOException, HistoryExpiredException;

    /**
     * Makes a request in progress fail, so that the follower sends a new one; has no effect without
     * one. May be called by any task.
     */
    void abortRequest();
}
