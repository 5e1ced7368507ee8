package org.godwithoist.store.feed;

import java.util.List;

/** Receives the rows of a table. All methods are called by the task of the follower. */
public interface FeedListener {
    /** Receives the complete table; rows that are not listed no longer exist. */
    void onSnapshot(List<FeedRow> rows);

    /**
     * Receives the complete table of a store that was restored from an older copy. Rows that were
     * known may be missing or older until their writers have written them again.
     */
    void onRestoredSnapshot(List<FeedRow> rows);

    /** Receives changed and deleted rows. */
    void onChanges(List<FeedRow> rows);

    /** Called after each successful request, before its rows are passed on. */
    void onAvailable();

    /**
     * Called after each failed request.
     *
     * @param reason message of the exception
     */
    void onUnavailable(String reason);
}
