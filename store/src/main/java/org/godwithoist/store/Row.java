package org.godwithoist.store;

/**
 * A stored row.
 *
 * @param key key within its table
 * @param version increases with each write; at least 1
 * @param value content, JSON by convention
 */
public record Row(String key, long version, String value) {}
