package org.godwithoist.targets;

/**
 * Version of the software that a target runs.
 *
 * @param value text that identifies the version; compared for equality only
 */
public record SoftwareVersion(String value) {
    /** Maximum length of a version, in characters. */
    public static final int MAX_LENGTH = 200;

    /**
     * Validates the version.
     *
     * @throws IllegalArgumentException if it is empty or too long
     */
    public SoftwareVersion {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "a software version has 1 to "
                            + MAX_LENGTH
                            + " characters, not "
                            + value.length());
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
