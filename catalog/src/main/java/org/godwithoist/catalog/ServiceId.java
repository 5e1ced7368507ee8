package org.godwithoist.catalog;

/**
 * Identifies a service: the targets that process one kind of requests.
 *
 * @param value text of 1 to {@value #MAX_LENGTH} characters
 */
public record ServiceId(String value) {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 200;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty or too long
     */
    public ServiceId {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "ServiceId must have 1 to "
                            + MAX_LENGTH
                            + " characters, not "
                            + value.length());
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceId o && value.equals(o.value);
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
