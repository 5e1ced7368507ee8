package org.godwithoist.catalog;

/**
 * Identifies a route of the catalog.
 *
 * @param value text of 1 to {@value #MAX_LENGTH} characters
 */
public record RouteId(String value) {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 200;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty or too long
     */
    public RouteId {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "RouteId must have 1 to " + MAX_LENGTH + " characters, not " + value.length());
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
