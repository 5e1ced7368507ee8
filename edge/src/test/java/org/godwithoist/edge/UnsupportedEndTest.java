package org.godwithoist.edge;

import static org.godwithoist.edge.ScriptedFleet.assertNone;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * Scenario: targets of a daemon in a process of its own end bodies that are not those of a
 * response, and nothing but another target can show it.
 */
final class UnsupportedEndTest {
    private static final int CALLERS = 6;
    private static final int REQUESTS = 36;
    private static final int KNOWN_READS = 3;
    private static final int KNOWN_BOOKINGS = 40;

    @TempDir Path dir;
    private ScriptedFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new ScriptedFleet(dir);
        fleet.awaitWholeRetryBudget();
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    private static ScriptedResponse twice(Framing framing, Moment moment) {
        return new ScriptedResponse(
                framing, Cut.NONE, Copy.BODY_INSIDE_FRAMING, moment, 200, Size.SHORT);
    }

    private static ScriptedResponse stated() {
        return new ScriptedResponse(
                Framing.LENGTH, Cut.NONE, Copy.NONE, Moment.AT_ONCE, 200, Size.SHORT);
    }

    private void warmUp() throws InterruptedException {
        fleet.sendAll(RouteKind.BOOKING, List.of(stated()), KNOWN_BOOKINGS, CALLERS);
        fleet.sendAll(RouteKind.READ, List.of(stated()), KNOWN_READS, 1);
    }

    private List<Result> send(RouteKind kind, ScriptedResponse script) throws InterruptedException {
        return fleet.sendAll(kind, List.of(script), REQUESTS, CALLERS);
    }

    private void assertNoneTaken(List<Result> results) {
        assertNone("taken for whole", results, fleet::isWrong);
    }

    private void assertAllDelivered(List<Result> results) {
        assertNone("lost or wrong", results, r -> r.status() != 200 || fleet.isWrong(r));
    }

    /** Scenario: a target writes its body twice and states the end behind the second one. */
    @Nested
    final class BodyWrittenTwice {
        /** Guards against a doubled read that is delivered although another target is sound. */
        @ParameterizedTest
        @EnumSource(names = {"LENGTH", "CHUNKS"})
        void readIsAnsweredByASoundTarget(Framing framing) throws Exception {
            fleet.keepOneFaultyTarget();
            assertAllDelivered(send(RouteKind.READ, twice(framing, Moment.AT_ONCE)));
        }

        /** Guards against the same where the second body comes late and the route is known. */
        @Test
        void lateSecondBodyIsNotDelivered() throws Exception {
            warmUp();
            fleet.keepOneFaultyTarget();
            assertAllDelivered(send(RouteKind.READ, twice(Framing.CHUNKS, Moment.LATER)));
        }

        /** Guards against a doubled read that is delivered because no target is sound. */
        @Test
        void readIsNotDeliveredWhereNoTargetIsSound() throws Exception {
            assertNoneTaken(send(RouteKind.READ, twice(Framing.CHUNKS, Moment.AT_ONCE)));
        }
    }

    /**
     * Scenario: the targets that are asked about a body in doubt run the request and are silent.
     */
    @Nested
    final class NoSecondResponse {
        private static final int FEW_REQUESTS = 12;

        private List<Result> send(ScriptedResponse script) throws InterruptedException {
            List<Result> results =
                    fleet.sendAll(RouteKind.READ, List.of(script), FEW_REQUESTS, CALLERS);
            assertNone("without a response", results, r -> r.status() == 0);
            return results;
        }

        /** Guards against a doubled read that is delivered because no other target responds. */
        @ParameterizedTest
        @EnumSource(names = {"LENGTH", "CHUNKS"})
        void doubledReadIsNotDelivered(Framing framing) throws Exception {
            fleet.keepOneTargetThatResponds();
            assertNoneTaken(send(twice(framing, Moment.AT_ONCE)));
        }

        /** Guards against junk without a stated end that is delivered for the same reason. */
        @Test
        void junkIsNotDelivered() throws Exception {
            warmUp();
            fleet.keepOneTargetThatResponds();
            ScriptedResponse junk =
                    new ScriptedResponse(
                            Framing.CONNECTION,
                            Cut.NONE,
                            Copy.JUNK,
                            Moment.AT_ONCE,
                            200,
                            Size.SHORT);
            assertNoneTaken(send(junk));
        }
    }

    /** Scenario: a target states the end of far more than its body. */
    @Nested
    final class JunkInsideTheFraming {
        /** Guards against junk that is delivered although a sound target has another body. */
        @ParameterizedTest
        @EnumSource(names = {"LENGTH", "CHUNKS"})
        void readIsAnsweredByASoundTarget(Framing framing) throws Exception {
            fleet.sendAll(RouteKind.READ, List.of(stated()), REQUESTS, CALLERS);
            fleet.keepOneFaultyTarget();
            ScriptedResponse junk =
                    new ScriptedResponse(
                            framing,
                            Cut.NONE,
                            Copy.JUNK_INSIDE_FRAMING,
                            Moment.AT_ONCE,
                            200,
                            Size.SHORT);
            assertAllDelivered(send(RouteKind.READ, junk));
        }
    }

    /** Scenario: a target sends the events of its stream a second time. */
    @Nested
    final class EventsSentTwice {
        /** Guards against events that reach the caller twice. */
        @ParameterizedTest
        @EnumSource(names = {"RESUMABLE_STREAM", "STREAM"})
        void noEventReachesTheCallerTwice(RouteKind kind) throws Exception {
            assertNone(
                    "repeats events",
                    send(kind, twice(Framing.CHUNKS, Moment.AT_ONCE)),
                    ScriptedFleet::repeatsAnEvent);
        }
    }

    /** Scenario: junk follows the read of one target, and nothing of the service is known. */
    @Nested
    final class JunkWhereNothingIsKnown {
        /** Guards against junk beyond the buffer that is sent before another target is asked. */
        @Test
        void readIsAnsweredByASoundTarget() throws Exception {
            fleet.keepOneFaultyTarget();
            ScriptedResponse junk =
                    new ScriptedResponse(
                            Framing.CONNECTION,
                            Cut.NONE,
                            Copy.JUNK,
                            Moment.AT_ONCE,
                            200,
                            Size.SHORT);
            List<Result> results = send(RouteKind.READ, junk);
            assertNoneTaken(results);
            assertTrue(results.stream().anyMatch(r -> r.status() == 200));
        }
    }
}
