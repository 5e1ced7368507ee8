package org.godwithoist.relay;

import java.util.Map;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;

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
        StoreVersion from = new StoreVersion(new StoreEra(1), after);
        recent.add(from, from, page, Ticker.SYSTEM.nanos());
    }

    /** Returns the relayed table, as {@code RelayServer} takes it. */
    public Map<TableName, RecentChanges> tables() {
        return Map.of(table, recent);
    }
}
