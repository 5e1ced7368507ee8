package org.godwithoist.store;

import java.util.Optional;

/**
 * One conditional write of a transaction.
 *
 * @param table table of the row
 * @param key key of the row
 * @param expected version that the row must have, {@link #ABSENT} or {@link #ANY}
 * @param value new content; empty to delete the row
 */
public record Write(Table table, String key, long expected, Optional<String> value) {
    /** The row must not exist. */
    public static final long ABSENT = 0;

    /** The row may have any version or not exist. */
    public static final long ANY = -1;

    /** Returns a write that inserts a row and fails if it exists. */
    public static Write insert(Table table, String key, String value) {
        return new Write(table, key, ABSENT, Optional.of(value));
    }

    /** Returns a write that replaces a row of the given version. */
    public static Write replace(Table table, String key, long expected, String value) {
        return new Write(table, key, expected, Optional.of(value));
    }

    /** Returns a write that inserts or replaces a row unconditionally. */
    public static Write put(Table table, String key, String value) {
        return new Write(table, key, ANY, Optional.of(value));
    }

    /** Returns a write that deletes a row of the given version. */
    public static Write delete(Table table, String key, long expected) {
        return new Write(table, key, expected, Optional.empty());
    }
}
