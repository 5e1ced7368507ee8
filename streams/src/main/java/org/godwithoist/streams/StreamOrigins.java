package org.godwithoist.streams;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.catalog.ServiceId;

/** Answers which version began a stream. Thread-safe. */
public interface StreamOrigins {
    /**
     * Records that a target has sent the first event of a stream, before it is passed on.
     *
     * @param timeLeft time for which the caller still waits; it takes the stream up within it
     */
    void began(StreamId stream, StreamOrigin origin, Duration timeLeft);

    /**
     * Returns the version that began a stream which its caller takes up again. May ask the store.
     *
     * @param timeLeft time for which the caller still waits
     * @return empty if it is not known; the stream must not go on then
     */
    Optional<StreamOrigin> find(StreamId stream, Duration timeLeft);

    /**
     * Returns the version that began any stream of a service that its caller may take up.
     *
     * @return empty if several versions may have begun it
     */
    Optional<StreamOrigin> onlyOrigin(ServiceId service);
}
