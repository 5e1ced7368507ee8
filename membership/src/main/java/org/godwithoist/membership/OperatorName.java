package org.godwithoist.membership;

/**
 * Name of an operator as shown in histories.
 *
 * @param value 1 to {@value #MAX_LENGTH} characters
 */
public record OperatorName(String value) {
    /** Longest permitted name, in characters. */
    public static final int MAX_LENGTH = 200;

    /** Checks the length. */
    public OperatorName {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "the name of an operator must have 1 to " + MAX_LENGTH + " characters");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
