package org.godwithoist.quarantine;

import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.PromptPartId;

/**
 * Identifies what may be to blame for a crash: a prompt part that several requests share, or one
 * request with its repeats.
 *
 * @param value printable ASCII text without spaces, 1 to {@value #MAX_LENGTH} characters
 */
public record SuspectId(String value) implements Comparable<SuspectId> {
    /** Maximum length, in characters. */
    public static final int MAX_LENGTH = PromptPartId.MAX_LENGTH;

    /** Begins the id of a request, and no id of a part that a caller names. */
    private static final char REQUEST_MARK = PromptPartId.RESERVED_MARK;

    /**
     * Validates the value.
     *
     * @throws IllegalArgumentException if the value is empty, too long or not printable ASCII
     */
    public SuspectId {
        if (!PromptPartId.isValid(value)) {
            throw new IllegalArgumentException(
                    "SuspectId must have 1 to "
                            + MAX_LENGTH
                            + " printable ASCII characters without spaces");
        }
    }

    /** Returns the id of a prompt part. */
    public static SuspectId of(PromptPartId part) {
        return new SuspectId(part.value());
    }

    /** Returns the id of a request. */
    public static SuspectId of(RequestFingerprint request) {
        return new SuspectId(REQUEST_MARK + request.value());
    }

    /** Returns the id with a value that another daemon has sent; any text is accepted. */
    public static SuspectId decode(String value) {
        boolean usable = PromptPartId.isValid(value);
        return new SuspectId(usable ? value : '#' + Long.toHexString(PrefixKey.of(value).hash()));
    }

    /** Returns whether this identifies one request, and not a part of several prompts. */
    public boolean isRequest() {
        return value.charAt(0) == REQUEST_MARK;
    }

    @Override
    public int compareTo(SuspectId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SuspectId o && value.equals(o.value);
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
