package org.godwithoist.core.id;

import java.util.Objects;

/** Validates the text of ids, so that ids are safe in headers, table keys and log lines. */
final class IdText {
    private static final char MIN_CHAR = '!';
    private static final char MAX_CHAR = '~';

    private IdText() {}

    static void check(String type, String value, int maxLength) {
        Objects.requireNonNull(value, type);
        if (value.isEmpty() || value.length() > maxLength) {
            throw new IllegalArgumentException(
                    type + " must have 1 to " + maxLength + " characters, not " + value.length());
        }
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < MIN_CHAR || c > MAX_CHAR) {
                throw new IllegalArgumentException(
                        type
                                + " must be printable ASCII without spaces; invalid character at index "
                                + i);
            }
        }
    }
}
