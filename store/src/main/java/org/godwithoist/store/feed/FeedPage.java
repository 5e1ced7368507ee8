package org.godwithoist.store.feed;

import java.util.List;

/**
 * The rows of a table, or its changed rows, up to a version of the store.
 *
 * @param rows rows in the order of the store
 * @param version version after which the next changes are read
 */
public record FeedPage(List<FeedRow> rows, long version) {}
