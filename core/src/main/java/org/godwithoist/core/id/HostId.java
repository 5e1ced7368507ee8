package org.godwithoist.core.id;

/**
 * Identifies a host of the fleet. Host ids are taken from the settings of a daemon or from the host
 * list.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record HostId(String value) implements Comparable<HostId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 100;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public HostId {
        IdText.check("HostId", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HostId o && value.equals(o.value);
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
