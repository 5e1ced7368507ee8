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
public record StoredResponse(ResponseHead head, Place place, Optional<Content> content) {
    /**
     * Maximum length of a body in a row, in bytes; the row is transferred with each read of the
     * claim.
     */
    public static final int MAX_INLINE_BYTES = 16 << 10;

    /** Maximum length of a body that is retained, in bytes. */
    public static final int MAX_RETAINED_BYTES = 4 << 20;

    /** Where the body of a stored response is. */
    public enum Place {
        /** In the row. */
        INLINE,
        /** In the object store. */
        OBJECT,
        /** Not stored, because it is too long or there was no memory to buffer it. */
        NOT_KEPT;

        /** Returns the place for a body of the given length, in bytes. */
        public static Place of(long length) {
            if (length <= MAX_INLINE_BYTES) {
                return INLINE;
            }
            return length <= MAX_RETAINED_BYTES ? OBJECT : NOT_KEPT;
        }
    }

    /** A body in memory. Immutable by convention; the array is not copied. */
    @SuppressWarnings("ArrayRecordComponent")
    public record Content(byte[] bytes) {}

    /** Returns a response whose body is not retained. */
    public static StoredResponse withoutBody(ResponseHead head) {
        return new StoredResponse(head, Place.NOT_KEPT, Optional.empty());
    }

    /**
     * Returns a response with a body of at most {@link #MAX_RETAINED_BYTES} bytes. The array is not
     * copied.
     */
    public static StoredResponse of(ResponseHead head, byte[] body) {
        return new StoredResponse(head, Place.of(body.length), Optional.of(new Content(body)));
    }
}
