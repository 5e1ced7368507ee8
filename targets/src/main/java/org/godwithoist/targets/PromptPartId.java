package org.godwithoist.targets;

/**
 * Identifies one part of a prompt. Requests whose prompts contain the same text at the same place
 * name the same part.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record PromptPartId(String value) implements Comparable<PromptPartId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 32;

    /** Begins no id of a part that a caller names, so that other ids can begin with it. */
    public static final char RESERVED_MARK = '=';

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public PromptPartId {
        if (!isValid(value)) {
            throw new IllegalArgumentException(
                    "PromptPartId must have 1 to "
                            + MAX_LENGTH
                            + " printable ASCII characters without spaces");
        }
    }

    /**
     * Returns the id of a part that a caller names. Callers choose the names, so any text is
     * accepted; the hash of the text takes the place of one that is too long or not printable.
     */
    public static PromptPartId of(String text) {
        boolean usable = isValid(text) && text.charAt(0) != RESERVED_MARK;
        return new PromptPartId(usable ? text : '#' + hash(text));
    }

    private static String hash(String text) {
        return Long.toHexString(PrefixKey.of(text).hash());
    }

    /** Returns whether a text can be the value of an id. */
    public static boolean isValid(String text) {
        if (text.isEmpty() || text.length() > MAX_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return true;
    }

    @Override
    public int compareTo(PromptPartId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PromptPartId o && value.equals(o.value);
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
