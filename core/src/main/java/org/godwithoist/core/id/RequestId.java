package org.godwithoist.core.id;

/**
 * Identifies one request of a caller. Returned to the caller and forwarded to the target.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = 128;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public RequestId {
        IdText.check("RequestId", value, MAX_LENGTH);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
