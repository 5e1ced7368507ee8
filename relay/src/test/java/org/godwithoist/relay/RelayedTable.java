package org.godwithoist.relay;

import java.util.Map;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.feed.FeedPage;

/** A leader's copy of one table, for tests in other packages. */
public final class RelayedTable {
    private final TableName table;
    private final RecentChanges recent = new RecentChanges(Ticker.SYSTEM);

    /** Creates a copy that has not been read yet. */
    public RelayedTable(TableName table) {
        this.table = table;
    }

    /** Adds a response of the store. */
    public void add(long after, FeedPage page) {
        recent.add(after, after, page, Ticker.SYSTEM.nanos());
    }

    /** Returns the relayed table, as {@code RelayServer} takes it. */
    public Map<TableName, RecentChanges> tables() {
        return Map.of(table, recent);
    }
}
