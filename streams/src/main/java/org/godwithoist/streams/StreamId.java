package org.godwithoist.streams;

import java.nio.charset.StandardCharsets;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.RequestId;

/**
 * Identifies a stream over all attempts of its caller.
 *
 * @param service service whose targets write it
 * @param begin the caller's attempt that brought the first event
 */
public record StreamId(ServiceId service, RequestId begin) {
    /** Maximum size of the key of a row, in bytes. */
    private static final int MAX_KEY_BYTES = 200;

    /**
     * Returns the key of the stream's row. It begins with the id of the attempt, which spreads the
     * rows over the range of keys.
     */
    public String key() {
        return begin + "/" + service;
    }

    /** Returns whether the store can have a row for the stream. */
    boolean isStorable() {
        return key().getBytes(StandardCharsets.UTF_8).length <= MAX_KEY_BYTES;
    }
}
