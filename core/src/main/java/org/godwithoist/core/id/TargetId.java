package org.godwithoist.core.id;

/**
 * Identifies a target: an engine or a plain service that processes requests. Target ids are taken
 * from the host list.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record TargetId(String value) implements Comparable<TargetId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 100;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public TargetId {
        IdText.check("TargetId", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TargetId o && value.equals(o.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
