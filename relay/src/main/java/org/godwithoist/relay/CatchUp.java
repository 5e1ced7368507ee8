package org.godwithoist.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.HistoryExpiredException;
import org.godwithoist.store.feed.StoreVersion;
import org.godwithoist.store.feed.TableFeed;

/** How a daemon that has not read a table for some time reads at the store what it missed. */
public enum CatchUp {
    /** Reads each change that was missed; suits large tables of which few rows change. */
    MISSED_CHANGES {
        @Override
        FeedPage read(TableFeed store, StoreVersion after, Set<String> knownKeys)
                throws IOException, HistoryExpiredException {
            return store.changes(after, Duration.ZERO);
        }

        @Override
        void recordKeys(List<FeedRow> rows, Set<String> knownKeys) {
            // The store reports removed rows itself.
        }
    },

    /**
     * Reads the rows as they are now. Suits tables with few large rows that change often: the store
     * sends every version of a row that was missed, and a daemon on a slow link would receive the
     * newest one last.
     */
    CURRENT_ROWS {
        @Override
        FeedPage read(TableFeed store, StoreVersion after, Set<String> knownKeys)
                throws IOException {
            FeedPage page = store.readAll(RESPONSE_TIMEOUT);
            if (!page.version().sameEra(after)) {
                return page;
            }
            List<FeedRow> changes = new ArrayList<>(page.rowsAfter(after));
            changes.sort(Comparator.comparingLong(FeedRow::version));
            Set<String> removedKeys = new HashSet<>(knownKeys);
            page.rows().forEach(r -> removedKeys.remove(r.key()));
            for (String key : removedKeys) {
                changes.add(new FeedRow(key, new byte[0], page.version().number(), true));
            }
            return new FeedPage(changes, page.version());
        }

        @Override
        void recordKeys(List<FeedRow> rows, Set<String> knownKeys) {
            for (FeedRow row : rows) {
                if (row.deleted()) {
                    knownKeys.remove(row.key());
                } else {
                    knownKeys.add(row.key());
                }
            }
        }
    };

    /** Shorter than for the first read, so that the recovery of the store is noticed soon. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Reads the changes after a version without waiting for new ones, or all rows if the store was
     * restored.
     *
     * @param after version up to which this daemon has the table
     * @param knownKeys keys of the rows that this daemon has, as {@link #recordKeys} keeps them
     */
    abstract FeedPage read(TableFeed store, StoreVersion after, Set<String> knownKeys)
            throws IOException, HistoryExpiredException;

    /** Applies rows that this daemon has received to the known keys, if they are needed. */
    abstract void recordKeys(List<FeedRow> rows, Set<String> knownKeys);
}
