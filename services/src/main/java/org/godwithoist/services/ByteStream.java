package org.godwithoist.services;

import java.time.Duration;
import java.util.Optional;

/** A body that is read chunk by chunk, so that at most one chunk is in memory. */
public interface ByteStream {
    /**
     * Waits for the next chunk.
     *
     * @return the chunk, or empty at the end of the body
     * @throws org.godwithoist.core.task.AwaitTimeoutException if the chunk does not arrive within
     *     the timeout
     */
    Optional<byte[]> next(Duration timeout);

    /** Returns a body of one chunk, or of none if the content is empty. The array is not copied. */
    static ByteStream of(byte[] content) {
        return new ByteStream() {
            private boolean read = content.length == 0;

            @Override
            public Optional<byte[]> next(Duration timeout) {
                if (read) {
                    return Optional.empty();
                }
                read = true;
                return Optional.of(content);
            }
        };
    }
}
