package org.godwithoist.catalog;

/**
 * Secret that authenticates a caller and selects its workspace.
 *
 * @param value text of 1 to {@value #MAX_LENGTH} characters
 */
public record ApiKey(String value) {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 200;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty or too long
     */
    public ApiKey {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "ApiKey must have 1 to " + MAX_LENGTH + " characters, not " + value.length());
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKey o && value.equals(o.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    /** Hides the secret, so that it is never logged. */
    @Override
    public String toString() {
        return "ApiKey(hidden)";
    }
}
