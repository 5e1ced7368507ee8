package org.godwithoist.services;

import java.util.Optional;

/**
 * The answer of a finished call, kept for repeats.
 *
 * @param head status and headers
 * @param place where the body is
 * @param content the body itself, or the key of the object that holds it; empty if it is not kept
 */
public record StoredAnswer(AnswerHead head, Place place, Optional<Content> content) {
    /** Longest body in a row, in bytes; rows travel with each read of the claim. */
    public static final int MAX_INLINE = 16 << 10;

    /** Longest body that is kept at all, in bytes. */
    public static final int MAX_KEPT = 4 << 20;

    /** Where the body of a stored answer is. */
    public enum Place {
        /** In the row. */
        INLINE,
        /** In the object store. */
        OBJECT,
        /** Nowhere, because it is too long. */
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

    /** Returns an answer whose body is too long to keep. */
    public static StoredAnswer notKept(AnswerHead head) {
        return new StoredAnswer(head, Place.NOT_KEPT, Optional.empty());
    }

    /** Returns an answer with a body of at most {@link #MAX_KEPT} bytes. */
    public static StoredAnswer of(AnswerHead head, byte[] body) {
        return new StoredAnswer(head, Place.of(body.length), Optional.of(new Content(body)));
    }
}
