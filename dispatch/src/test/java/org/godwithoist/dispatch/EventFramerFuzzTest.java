package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import org.godwithoist.core.fuzz.DecoderFuzzer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link EventFramer} with many streams of targets. */
final class EventFramerFuzzTest {
    private static final List<byte[]> STREAMS =
            DecoderFuzzer.texts(
                    "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\nversion: 2\ndata: c\n\n",
                    "id:1\ndata: " + "x".repeat(3000) + "\n\n",
                    "data: without id\n\nid: 99999999999999999999\n\nid:\n\nid: 5\ndata: cut");

    /** A framer and what it has forwarded. */
    private static final class Output {
        private final EventFramer framer = new EventFramer();
        private boolean hasRepeat;
        private final ByteArrayOutputStream forwarded = new ByteArrayOutputStream();

        /** Feeds bytes unless an event was repeated, with which the stream ends. */
        void feed(byte[] bytes, int from, int length) throws IOException {
            if (hasRepeat) {
                return;
            }
            try {
                framer.feed(bytes, from, length, forwarded::write);
            } catch (RepeatedEventException e) {
                hasRepeat = true;
            }
        }
    }

    @Nested
    final class ChangedStreams {
        /**
         * Guards against a stream that breaks the framer, and against events, or a place to resume,
         * that depend on where the network splits the stream.
         */
        @Test
        void outputDoesNotDependOnTheSplit() throws Exception {
            SplittableRandom random = new SplittableRandom(5);
            new DecoderFuzzer(STREAMS, List.of(EventTooLargeException.class))
                    .check(stream -> compareSplits(stream, random));
        }

        private void compareSplits(byte[] stream, SplittableRandom random) throws IOException {
            Output whole = new Output();
            whole.feed(stream, 0, stream.length);
            Output split = new Output();
            for (int from = 0; from < stream.length; ) {
                int length = 1 + random.nextInt(Math.min(200, stream.length - from));
                split.feed(stream, from, length);
                from += length;
            }
            assertArrayEquals(whole.forwarded.toByteArray(), split.forwarded.toByteArray());
            assertEquals(whole.framer.lastId(), split.framer.lastId());
            assertEquals(whole.hasRepeat, split.hasRepeat);
            assertTrue(
                    whole.hasRepeat
                            || whole.framer.hasIncompleteEvent()
                                    == split.framer.hasIncompleteEvent());
        }
    }
}
