package org.godwithoist.core.id;

import java.util.regex.Pattern;

/**
 * Name of an operator, as listed in the settings.
 *
 * @param value letters, digits, dots, underscores, hyphens and at signs, 1 to 100 characters
 */
public record OperatorName(String value) {
    private static final int MAX_LENGTH = 100;
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._@-]+");

    /**
     * Validates the value. Signed statements contain one name per line, so names must not contain
     * spaces or line breaks.
     *
     * @throws IllegalArgumentException if the value is empty, too long or has other characters
     */
    public OperatorName {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "operator name must have 1 to " + MAX_LENGTH + " characters");
        }
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "operator name may contain only letters, digits, '.', '_', '-' and '@'");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
