package org.godwithoist.relay;

import java.util.Map;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.feed.FeedPage;

/** News of one table as a leader has them, for tests of other packages. */
public final class RelayedNews {
    private final TableName table;
    private final RecentChanges recent = new RecentChanges(Ticker.SYSTEM);

    /** Makes a leader that knows nothing. */
    public RelayedNews(TableName table) {
        this.table = table;
    }

    /** Adds an answer of the store. */
    public void add(long after, FeedPage page) {
        recent.add(after, after, page, Ticker.SYSTEM.nanos());
    }

    /** Returns the table that is passed on. */
    public Map<TableName, RecentChanges> tables() {
        return Map.of(table, recent);
    }
}
