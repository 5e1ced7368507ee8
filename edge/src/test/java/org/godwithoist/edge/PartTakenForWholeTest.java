package org.godwithoist.edge;

import static org.godwithoist.edge.ScriptedFleet.assertNone;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.godwithoist.edge.ScriptedFleet.Result;
import org.godwithoist.edge.ScriptedFleet.RouteKind;
import org.godwithoist.standins.edge.ScriptedResponse;
import org.godwithoist.standins.edge.ScriptedResponse.Copy;
import org.godwithoist.standins.edge.ScriptedResponse.Cut;
import org.godwithoist.standins.edge.ScriptedResponse.Framing;
import org.godwithoist.standins.edge.ScriptedResponse.Moment;
import org.godwithoist.standins.edge.ScriptedResponse.Size;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Scenario: targets of a daemon in a process of its own send bodies without a stated end that are
 * not those of a response, and close the connection in an orderly way. The caller takes the end of
 * its own connection for that of the body, as most clients do.
 */
final class PartTakenForWholeTest {
    private static final int CALLERS = 6;
    private static final int REQUESTS = 36;

    @TempDir Path dir;
    private ScriptedFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new ScriptedFleet(dir);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    private static ScriptedResponse unstated(Cut cut, Copy copy, int status, Size size) {
        return new ScriptedResponse(Framing.CONNECTION, cut, copy, Moment.AT_ONCE, status, size);
    }

    private static ScriptedResponse stated(Size size) {
        return new ScriptedResponse(Framing.LENGTH, Cut.NONE, Copy.NONE, Moment.AT_ONCE, 200, size);
    }

    private List<Result> send(RouteKind kind, ScriptedResponse script) throws InterruptedException {
        return fleet.sendAll(kind, List.of(script), REQUESTS, CALLERS);
    }

    /** Sends responses whose end is stated, so that the daemon knows the route's bodies. */
    private void sendStated(RouteKind kind, Size size) throws InterruptedException {
        assertAllDelivered(send(kind, stated(size)));
    }

    private void assertNoneTaken(List<Result> results) {
        assertNone("taken for whole", results, fleet::isWrong);
    }

    private void assertAllDelivered(List<Result> results) {
        assertNone("lost or wrong", results, r -> r.status() != 200 || fleet.isWrong(r));
    }

    /** Scenario: many bytes that are no part of a response follow the body. */
    @Nested
    final class JunkBehindTheBody {
        private static final ScriptedResponse JUNK =
                unstated(Cut.IN_THE_MIDDLE, Copy.JUNK, 200, Size.SHORT);

        /** Guards against junk that is taken for a body much longer than all of its route. */
        @ParameterizedTest
        @EnumSource
        void isNotTakenWhereBodiesAreKnown(RouteKind kind) throws Exception {
            sendStated(kind, Size.SHORT);
            assertNoneTaken(send(kind, JUNK));
        }

        /** Guards against the same on a route that is rarely asked for. */
        @Test
        void isNotTakenWhereBodiesOfAnotherRouteAreKnown() throws Exception {
            sendStated(RouteKind.BOOKING, Size.SHORT);
            assertNoneTaken(send(RouteKind.READ, JUNK));
        }

        /** Guards against the same just after the start, when no body of the route is known. */
        @ParameterizedTest
        @EnumSource
        void isNotTakenWhereNoBodyIsKnown(RouteKind kind) throws Exception {
            assertNoneTaken(send(kind, JUNK));
        }
    }

    /** Scenario: all bodies of the route have the same size. */
    @Nested
    final class BodiesOfOneSize {
        /** Guards against a part of a booking's body, whose size shows that it is one. */
        @ParameterizedTest
        @EnumSource(names = {"BOOKING", "READ"})
        void partIsNotTaken(RouteKind kind) throws Exception {
            sendStated(kind, Size.FIXED);
            for (Cut cut : List.of(Cut.IN_THE_MIDDLE, Cut.AT_A_FIXED_SIZE, Cut.NEAR_THE_END)) {
                assertNoneTaken(send(kind, unstated(cut, Copy.NONE, 200, Size.FIXED)));
            }
        }

        /** Guards against whole bodies that are lost because their end is not stated. */
        @ParameterizedTest
        @EnumSource(names = {"BOOKING", "READ"})
        void wholeBodiesAreDelivered(RouteKind kind) throws Exception {
            sendStated(kind, Size.FIXED);
            assertAllDelivered(send(kind, unstated(Cut.NONE, Copy.NONE, 200, Size.FIXED)));
        }
    }

    /** Scenario: the sizes of bodies vary, but the first ones are close to each other. */
    @Nested
    final class FewSimilarBodies {
        /** Number of runs after which the sizes of short bodies have had all their values. */
        private static final int ALL_SIZES = 100;

        /** Guards against runs that are lost because other bodies of the route had other sizes. */
        @Test
        void doNotRefuteWholeOnes() throws Exception {
            fleet.sendSoundRequests(RouteKind.BOOKING);
            ScriptedResponse whole = unstated(Cut.NONE, Copy.NONE, 200, Size.SHORT);
            assertAllDelivered(
                    fleet.sendAll(RouteKind.BOOKING, List.of(whole), ALL_SIZES, CALLERS));
        }
    }

    /** Scenario: a body is longer than what the daemon buffers. */
    @Nested
    final class LongBodies {
        /** Guards against a part whose first bytes have been sent before its end is known. */
        @ParameterizedTest
        @EnumSource(names = {"BOOKING", "READ"})
        void partIsNotTaken(RouteKind kind) throws Exception {
            sendStated(kind, Size.LONG);
            assertNoneTaken(send(kind, unstated(Cut.IN_THE_MIDDLE, Copy.NONE, 200, Size.LONG)));
        }

        /** Guards against a run that is lost because another route's bodies are shorter. */
        @Test
        void wholeBookingIsDeliveredWhereOnlyAnotherRouteIsKnown() throws Exception {
            sendStated(RouteKind.READ, Size.SHORT);
            assertAllDelivered(
                    send(RouteKind.BOOKING, unstated(Cut.NONE, Copy.NONE, 200, Size.LONG)));
        }

        /** Guards against a body that is broken off by a reset and taken for whole. */
        @ParameterizedTest
        @EnumSource(names = {"BOOKING", "READ"})
        void resetIsNotTaken(RouteKind kind) throws Exception {
            assertNoneTaken(send(kind, unstated(Cut.IN_THE_MIDDLE, Copy.RESET, 200, Size.LONG)));
        }
    }

    /** Scenario: the connection ends behind the head of a success. */
    @Nested
    final class BodiesCutToNothing {
        /** Guards against an empty body on a route whose bodies vary, but are never empty. */
        @ParameterizedTest
        @EnumSource(names = {"BOOKING", "READ"})
        void areNotTaken(RouteKind kind) throws Exception {
            sendStated(kind, Size.SHORT);
            assertNoneTaken(send(kind, unstated(Cut.BEFORE_THE_BODY, Copy.NONE, 200, Size.SHORT)));
        }
    }

    /** Scenario: a failure's body is cut. */
    @Nested
    final class PartsOfFailures {
        /**
         * Guards against a part of a failure's body at a request whose caller loses nothing by a
         * failure of the daemon's own.
         */
        @Test
        void partIsNotTakenForARead() throws Exception {
            List<Result> results =
                    send(RouteKind.READ, unstated(Cut.IN_THE_MIDDLE, Copy.NONE, 500, Size.SHORT));
            assertNone("taken", results, r -> r.status() == 500 && !fleet.isBodyOfARun(r));
            assertEquals(List.of(502), results.stream().map(Result::status).distinct().toList());
        }
    }

    /** Scenario: a stream that its caller can resume is cut between two events. */
    @Nested
    final class PartsOfStreams {
        /** Guards against the end of a stream that the caller would not resume. */
        @Test
        void partOfAResumableStreamIsNotTaken() throws Exception {
            sendStated(RouteKind.RESUMABLE_STREAM, Size.SHORT);
            for (Cut cut : List.of(Cut.IN_THE_MIDDLE, Cut.AT_A_FIXED_SIZE)) {
                assertNoneTaken(
                        send(
                                RouteKind.RESUMABLE_STREAM,
                                unstated(cut, Copy.NONE, 200, Size.SHORT)));
            }
        }
    }
}
