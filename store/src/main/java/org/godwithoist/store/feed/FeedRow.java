package org.godwithoist.store.feed;

/**
 * The current state of a row, or its deletion.
 *
 * @param value content; empty if the row was deleted
 * @param version version of the last change
 * @param deleted whether the row was deleted
 */
@SuppressWarnings("ArrayRecordComponent")
public record FeedRow(String key, byte[] value, long version, boolean deleted) {}
