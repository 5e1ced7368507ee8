package org.godwithoist.services;

import java.time.Duration;
import java.util.Optional;

/** A body that is read piece by piece, so that no more than one piece is in memory. */
public interface ByteStream {
    /**
     * Waits for the next piece.
     *
     * @return the piece, or empty at the end of the body
     * @throws org.godwithoist.core.task.AwaitTimeoutException if it does not come in time
     */
    Optional<byte[]> next(Duration timeout);

    /** Returns a body that is in memory. */
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
