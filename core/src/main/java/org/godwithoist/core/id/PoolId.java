package org.godwithoist.core.id;

/**
 * Identifies a pool: the targets that serve one model or one service. Pools are defined by bundles.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record PoolId(String value) implements Comparable<PoolId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 100;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public PoolId {
        IdText.check("PoolId", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(PoolId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
