package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class EventFramerTest {
    private static final String STREAM =
            "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\nversion: 2\ndata: c\n\n";

    private final EventFramer framer = new EventFramer();
    private final StringBuilder forwarded = new StringBuilder();

    private void feed(String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        framer.feed(
                bytes,
                0,
                bytes.length,
                (b, from, length) ->
                        forwarded.append(new String(b, from, length, StandardCharsets.UTF_8)));
    }

    @Nested
    final class CompleteStream {
        /** Guards against output that depends on where the network splits the stream. */
        @Test
        void outputDoesNotDependOnTheSplit() throws IOException {
            for (int size = 1; size <= STREAM.length(); size++) {
                EventFramer splitFramer = new EventFramer();
                StringBuilder out = new StringBuilder();
                byte[] all = STREAM.getBytes(StandardCharsets.UTF_8);
                for (int from = 0; from < all.length; from += size) {
                    splitFramer.feed(
                            all,
                            from,
                            Math.min(size, all.length - from),
                            (b, f, n) -> out.append(new String(b, f, n, StandardCharsets.UTF_8)));
                }
                assertEquals(STREAM, out.toString(), "pieces of " + size);
                assertEquals(OptionalLong.of(9), splitFramer.lastId());
            }
        }
    }

    @Nested
    final class BrokenStream {
        /**
         * Guards against a partial event reaching the caller before another target resumes the
         * stream.
         */
        @Test
        void incompleteEventIsNotForwarded() throws IOException {
            feed("id: 1\ndata: a\n\nid: 2\ndata: hal");
            assertEquals("id: 1\ndata: a\n\n", forwarded.toString());
            assertEquals(OptionalLong.of(1), framer.lastId());
            assertTrue(framer.hasIncompleteEvent());
            feed("f\n\n");
            assertEquals("id: 1\ndata: a\n\nid: 2\ndata: half\n\n", forwarded.toString());
            assertFalse(framer.hasIncompleteEvent());
        }

        /** Guards against resuming after an event that the caller did not receive. */
        @Test
        void lastIdIsEmptyBeforeTheFirstEvent() throws IOException {
            feed("id: 1\n");
            assertEquals(OptionalLong.empty(), framer.lastId());
        }
    }

    /** Scenario: a target in trouble sends an event without an end. */
    @Nested
    final class EndlessEvent {
        /** Guards against an event that uses up the memory of the daemon. */
        @Test
        void eventBeyondTheLimitIsRejected() throws IOException {
            feed("id: 1\ndata: a\n\n");
            String piece = "x".repeat(1000);
            int pieces = EventFramer.MAX_EVENT_BYTES / piece.length();
            for (int i = 0; i < pieces; i++) {
                feed(piece);
            }
            assertThrows(EventTooLargeException.class, () -> feed(piece));
            assertEquals("id: 1\ndata: a\n\n", forwarded.toString());
        }

        /** Guards against a stream that is cut because many events arrive at once. */
        @Test
        void manyEventsInOnePieceAreForwarded() throws IOException {
            StringBuilder events = new StringBuilder();
            for (int i = 1; i <= EventFramer.MAX_EVENT_BYTES / 10; i++) {
                events.append("id: ").append(i).append("\ndata: a\n\n");
            }
            feed(events.toString());
            assertEquals(events.toString(), forwarded.toString());
        }
    }

    /** Scenario: a stream breaks off, and another target could go on. */
    @Nested
    final class PlaceToResume {
        /** Guards against an event that the next target sends again, because it has no id. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "data: a\n\n",
                    "id: 1\ndata: a\n\ndata: b\n\n",
                    "id: 1\ndata: a\n\nevent: done\ndata: {}\n\n: comment\n\n",
                    "id: run-1.10\ndata: a\n\n"
                })
        void isUnknownBehindAnEventWithoutANumber(String events) throws IOException {
            feed(events);
            assertFalse(framer.isResumable());
        }

        /** Guards against streams that are broken off although a target can resume them. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    ": comment\n\n",
                    "data: a\n\nid: 1\ndata: b\n\n",
                    "id: 1\ndata: a\n\n: comment\n\nretry: 5\n\n",
                    "id: 1\ndata: a\n\ndata: half"
                })
        void isKnownBehindANumber(String events) throws IOException {
            feed(events);
            assertTrue(framer.isResumable());
        }
    }

    /** Scenario: a target sends events again that were sent before. */
    @Nested
    final class RepeatedEvents {
        /** Guards against an event that reaches the caller twice. */
        @Test
        void areNotForwarded() throws IOException {
            String events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            assertThrows(RepeatedEventException.class, () -> feed(events + events));
            assertEquals(events, forwarded.toString());
            assertEquals(OptionalLong.of(2), framer.lastId());
        }

        /** Guards against the same in a response that resumes a stream. */
        @Test
        void areNotForwardedAfterAResumption() {
            framer.startAfter(OptionalLong.of(7));
            assertThrows(RepeatedEventException.class, () -> feed("id: 7\ndata: a\n\n"));
            assertEquals("", forwarded.toString());
            assertEquals(OptionalLong.empty(), framer.lastId());
        }

        /** Guards against a place to resume that the caller has not reached. */
        @Test
        void placeToResumeIsThatOfTheLastForwardedEvent() {
            String first = "id: 1\ndata: a\n\n";
            assertThrows(
                    RepeatedEventException.class, () -> feed(first + "id: 5\nid: 4\ndata: b\n\n"));
            assertEquals(first, forwarded.toString());
            assertEquals(OptionalLong.of(1), framer.lastId());
        }

        /** Guards against streams that are broken off because events have no id. */
        @Test
        void eventsWithoutIdAreForwarded() throws IOException {
            String events = "data: a\n\nid: 1\ndata: b\n\ndata: c\n\ndata: c\n\nid: 3\n\n";
            feed(events);
            assertEquals(events, forwarded.toString());
        }

        /** Guards against sound streams that are broken off because their ids are no numbers. */
        @Test
        void idsThatAreNoNumbersAreNotCompared() throws IOException {
            StringBuilder stream = new StringBuilder();
            for (String id : List.of("run-1.10", "run-2.0", "9f3c-77", "04ab-1", "-2", "-1")) {
                stream.append("id: ").append(id).append("\ndata: a\n\n");
            }
            String events = stream.toString();
            feed(events);
            assertEquals(events, forwarded.toString());
        }

        /** Guards against a number among such ids that hides a repeated event. */
        @Test
        void numbersBetweenSuchIdsAreCompared() throws IOException {
            String events = "id: 5\ndata: a\n\nid: b-1\ndata: b\n\n";
            assertThrows(
                    RepeatedEventException.class, () -> feed(events + "id: 5 \r\ndata: a\n\n"));
            assertEquals(events, forwarded.toString());
        }
    }
}
