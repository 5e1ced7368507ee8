package org.godwithoist.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.targets.SoftwareVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class BegunStreamsTest {
    private static final ServiceId SERVICE = new ServiceId("models");
    private static final StreamOrigin ORIGIN =
            new StreamOrigin(Optional.of(new SoftwareVersion("v1")));

    private final VirtualTicker ticker = new VirtualTicker();
    private final BegunStreams streams = new BegunStreams(ticker);

    private static StreamId stream(String id) {
        return new StreamId(SERVICE, new RequestId(id));
    }

    @Nested
    final class Memory {
        /** Guards against a crowd of streams that uses up the memory of the daemon. */
        @Test
        void isBounded() {
            for (int i = 0; i <= BegunStreams.MAX_STREAMS; i++) {
                streams.add(stream("s" + i), ORIGIN, Duration.ofMinutes(1));
            }
            assertEquals(BegunStreams.MAX_STREAMS, streams.size());
            assertEquals(BegunStreams.MAX_STREAMS, streams.unsavedCount());
            assertEquals(Optional.empty(), streams.find(stream("s0")));
        }

        /** Guards against a stream that goes on long after its caller has stopped waiting. */
        @Test
        void endsWithTheLifeOfTheStream() {
            streams.add(stream("s"), ORIGIN, Duration.ofSeconds(20));
            ticker.advance(Duration.ofSeconds(20));
            assertEquals(Optional.empty(), streams.find(stream("s")));
        }
    }

    @Nested
    final class Rows {
        /** Guards against streams of a service with one version that are written. */
        @Test
        void areWrittenForTheServicesThatNeedThem() {
            streams.add(stream("s"), ORIGIN, Duration.ofSeconds(20));
            assertEquals(List.of(), streams.unsaved(s -> false, 10));
            assertEquals(1, streams.unsaved(s -> true, 10).size());
        }

        /** Guards against a key that the store rejects, with all others of its transaction. */
        @Test
        void areNotWrittenUnderKeysThatAreTooLong() {
            StreamId longKey =
                    new StreamId(new ServiceId("s".repeat(120)), new RequestId("r".repeat(120)));
            streams.add(longKey, ORIGIN, Duration.ofSeconds(20));
            assertEquals(List.of(), streams.unsaved(s -> true, 10));
            assertEquals(Optional.of(ORIGIN), streams.find(longKey));
        }
    }
}
