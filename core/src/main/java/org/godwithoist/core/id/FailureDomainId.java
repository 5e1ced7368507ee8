package org.godwithoist.core.id;

/**
 * Identifies a failure domain: hosts that operators take out of service together. Failure domains
 * are named in the bundle and in the settings of each daemon.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 100;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public FailureDomainId {
        IdText.check("FailureDomainId", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomainId o && value.equals(o.value);
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
