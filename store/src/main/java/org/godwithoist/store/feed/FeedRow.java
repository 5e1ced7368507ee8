package org.godwithoist.store.feed;

/**
 * The current state of a row, or its deletion.
 *
 * @param value content; empty if the row was deleted
 * @param version number of the version of the last change, in the era of the page
 * @param deleted whether the row was deleted
 */
@SuppressWarnings("ArrayRecordComponent")
public record FeedRow(String key, byte[] value, long version, boolean deleted) {}
