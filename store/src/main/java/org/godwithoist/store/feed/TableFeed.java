package org.godwithoist.store.feed;

import java.io.IOException;
import java.time.Duration;

/** Reads one table of the store. Used by a single task, except for {@link #interrupt()}. */
public interface TableFeed {
    /** Reads a consistent snapshot of all rows. */
    FeedPage readAll() throws IOException;

    /**
     * Waits for changes.
     *
     * @param after version up to which the changes are known
     * @param wait maximum time to wait; the page is empty if nothing has changed
     * @throws HistoryGoneException if a new snapshot must be read
     */
    FeedPage changes(long after, Duration wait) throws IOException, HistoryGoneException;

    /**
     * Makes the request in progress, if any, fail, so that the follower sends a new one. May be
     * called by any task.
     */
    void interrupt();
}
