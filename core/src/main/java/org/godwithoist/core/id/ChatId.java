package org.godwithoist.core.id;

/**
 * Identifies a chat over several requests. Sent by the caller or derived from the first messages.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record ChatId(String value) implements Comparable<ChatId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 200;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public ChatId {
        IdText.check("ChatId", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(ChatId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
