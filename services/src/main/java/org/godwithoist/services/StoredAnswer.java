package org.godwithoist.services;

import java.util.Optional;

/**
 * The response of a completed request, retained for retries with the same key.
 *
 * @param head status and headers
 * @param place where the body is stored
 * @param content the body itself, or the key of the object that holds it; empty if it is not
 *     retained
 */
public record StoredAnswer(AnswerHead head, Place place, Optional<Content> content) {
    /**
     * Maximum length of a body in a row, in bytes; the row is transferred with each read of the
     * claim.
     */
    public static final int MAX_INLINE = 16 << 10;

    /** Maximum length of a body that is retained, in bytes. */
    public static final int MAX_KEPT = 4 << 20;

    /** Where the body of a stored response is. */
    public enum Place {
        /** In the row. */
        INLINE,
        /** In the object store. */
        OBJECT,
        /** Not stored, because it is too long. */
        NOT_KEPT;

        /** Returns the place for a body of the given length, in bytes. */
        public static Place of(long length) {
            if (length <= MAX_INLINE) {
                return INLINE;
            }
            return length <= MAX_KEPT ? OBJECT : NOT_KEPT;
        }
    }

    /** A body in memory. Immutable by convention; the array is not copied. */
    @SuppressWarnings("ArrayRecordComponent")
    public record Content(byte[] bytes) {}

    /** Returns a response without its body, which is too long to retain. */
    public static StoredAnswer notKept(AnswerHead head) {
        return new StoredAnswer(head, Place.NOT_KEPT, Optional.empty());
    }

    /**
     * Returns a response with a body of at most {@link #MAX_KEPT} bytes. The array is not copied.
     */
    public static StoredAnswer of(AnswerHead head, byte[] body) {
        return new StoredAnswer(head, Place.of(body.length), Optional.of(new Content(body)));
    }
}
