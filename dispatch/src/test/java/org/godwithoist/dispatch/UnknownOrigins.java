package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.streams.StreamId;
import org.godwithoist.streams.StreamOrigin;
import org.godwithoist.streams.StreamOrigins;

/** Knows the beginning of no stream. */
final class UnknownOrigins implements StreamOrigins {
    @Override
    public void began(StreamId stream, StreamOrigin origin, Duration timeLeft) {}

    @Override
    public Optional<StreamOrigin> find(StreamId stream, Duration timeLeft) {
        return Optional.empty();
    }

    @Override
    public Optional<StreamOrigin> onlyOrigin(ServiceId service) {
        return Optional.empty();
    }
}
