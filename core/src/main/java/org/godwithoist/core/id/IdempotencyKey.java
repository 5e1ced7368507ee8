package org.godwithoist.core.id;

/**
 * Identifies a request that may run at most once. Chosen by the caller; unique within a workspace.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 200;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public IdempotencyKey {
        IdText.check("IdempotencyKey", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
