package org.godwithoist.store.feed;

import java.util.List;

/**
 * The rows of a table, or its changed rows, up to a version of the store. The versions of all rows
 * are of the page's era.
 *
 * @param rows rows in the order of the store
 * @param version version after which the next changes are read
 */
public record FeedPage(List<FeedRow> rows, StoreVersion version) {
    /**
     * Returns the rows that changed after a version.
     *
     * @throws IllegalArgumentException if the version is of another era
     */
    public List<FeedRow> rowsAfter(StoreVersion after) {
        return rows.stream().filter(r -> after.isBefore(versionOf(r))).toList();
    }

    private StoreVersion versionOf(FeedRow row) {
        return new StoreVersion(version.era(), row.version());
    }
}
