package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.ClientStandin;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.RunnerFault;
import org.godwithoist.standins.edge.RunnerStandin;
import org.godwithoist.standins.edge.RunnerStandin.ExecutedRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Scenario: one request ends each target that begins to run it, before a byte of the response, and
 * its caller repeats it.
 */
final class DeadlyRequestTest {
    private static final int ENGINES = 6;
    private static final int DESKS = 8;
    private static final int REPEATS = 6;

    /** Targets that may end before the request must no longer reach any. */
    private static final int MAX_ENDED = 3;

    /** Time after its start from which a daemon must know what the store knows. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    private static final int OK = 200;
    private static final String DEADLY_BODY = "deadly";
    private static final String DEADLY_PATH = "deadly";

    private EdgeFixture fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new EdgeFixture(ENGINES, DESKS);
        fleet.engines.forEach(e -> e.setDeadlyRequests(DeadlyRequestTest::isDeadly));
        fleet.desks.forEach(d -> d.setDeadlyRequests(DeadlyRequestTest::isDeadly));
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    private static boolean isDeadly(ExecutedRequest request) {
        return request.body().equals(DEADLY_BODY) || request.uri().endsWith(DEADLY_PATH);
    }

    private ClientStandin.Response send(Endpoint daemon, String method, String uri, String body)
            throws IOException {
        Map<String, String> fields = fleet.validFields();
        if (!uri.startsWith(ConfigText.RESUMABLE)) {
            fields.remove("X-Godwithoist-Prompt-Prefix");
        }
        try (ClientStandin client = new ClientStandin(daemon)) {
            client.send(method, uri, fields, body);
            return client.receive();
        }
    }

    private ClientStandin.Response sendDeadlyRead(Endpoint daemon) throws IOException {
        return send(daemon, "GET", ConfigText.STATUS + DEADLY_PATH, "");
    }

    private ClientStandin.Response sendDeadlyBooking(Endpoint daemon) throws IOException {
        return send(daemon, "POST", ConfigText.BOOKING + "x", DEADLY_BODY);
    }

    private ClientStandin.Response sendDeadlyEstimate(Endpoint daemon) throws IOException {
        return send(daemon, "POST", ConfigText.RESUMABLE + "x", DEADLY_BODY);
    }

    private int soundStatus(String method, String uri, String body) {
        try {
            return send(fleet.edge.callerAddress(), method, uri, body).status();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int statusOfSoundBooking(String body) {
        return soundStatus("POST", ConfigText.BOOKING + "x", body);
    }

    private int statusOfPoll() {
        return soundStatus("GET", ConfigText.STATUS + "poll", "");
    }

    private static long ended(List<RunnerStandin> targets) {
        return targets.stream().filter(RunnerStandin::hasEnded).count();
    }

    /** Waits until a request is served; the daemon still tries some of the targets that ended. */
    private static void assertServed(IntSupplier status) {
        EdgeFixture.await("a served request", () -> status.getAsInt() == OK);
    }

    private void assertNothingIsQuarantined() {
        assertFalse(fleet.log().contains("prompt_quarantined"), fleet.log());
    }

    private static void assertRefused(ClientStandin.Response response) {
        assertEquals(503, response.status());
        assertFalse(response.field("Retry-After").isEmpty());
    }

    @Nested
    final class OneDaemon {
        /** Guards against a read that ends one target of a plain service after the other. */
        @Test
        void readThatEndsTargetsIsRefused() throws IOException {
            for (int i = 0; i < REPEATS; i++) {
                sendDeadlyRead(fleet.edge.callerAddress());
            }
            assertTrue(ended(fleet.desks) <= MAX_ENDED, "ended: " + ended(fleet.desks));
            assertRefused(sendDeadlyRead(fleet.edge.callerAddress()));
        }

        /** Guards against a booking that its caller repeats, and that ends a target each time. */
        @Test
        void bookingThatEndsTargetsIsRefusedAndOthersAreServed() throws IOException {
            for (int i = 0; i < REPEATS; i++) {
                sendDeadlyBooking(fleet.edge.callerAddress());
                assertServed(() -> statusOfSoundBooking("sound"));
            }
            assertTrue(ended(fleet.desks) <= MAX_ENDED, "ended: " + ended(fleet.desks));
            assertRefused(sendDeadlyBooking(fleet.edge.callerAddress()));
        }

        /** Guards against a crash before the head of a stream, which counted as a lost request. */
        @Test
        void streamThatEndsEnginesBeforeItsHeadIsRefused() throws IOException {
            for (int i = 0; i < REPEATS; i++) {
                sendDeadlyEstimate(fleet.edge.callerAddress());
                assertServed(() -> soundStatus("POST", ConfigText.RESUMABLE + "x", "sound"));
            }
            assertTrue(ended(fleet.engines) <= MAX_ENDED, "ended: " + ended(fleet.engines));
            assertRefused(sendDeadlyEstimate(fleet.edge.callerAddress()));
        }
    }

    /** Scenario: sound requests run at the targets that end. */
    @Nested
    final class SoundRequests {
        private static final int POLLS_AT_ONCE = 8;
        private static final int CRASHES = 6;
        private static final int BOOKINGS_AT_ONCE = 20;

        /** Time after which a daemon has checked the targets of lost requests. */
        private static final Duration CRASH_CHECK_TIME = Duration.ofMillis(600);

        /** Guards against an identical poll of all callers that is blamed for crashes beside it. */
        @Test
        void pollBesideCrashesIsNeverRefused() throws IOException {
            for (int i = 0; i < CRASHES; i++) {
                List<CompletableFuture<Integer>> polls = new ArrayList<>();
                for (int k = 0; k < POLLS_AT_ONCE; k++) {
                    polls.add(CompletableFuture.supplyAsync(DeadlyRequestTest.this::statusOfPoll));
                }
                send(fleet.edge.callerAddress(), "POST", ConfigText.BOOKING + i, DEADLY_BODY);
                polls.forEach(CompletableFuture::join);
            }
            assertNothingIsQuarantined();
            assertServed(DeadlyRequestTest.this::statusOfPoll);
        }

        /** Guards against requests that are blamed for the loss of the targets that run them. */
        @Test
        void requestsOfTargetsThatAreLostAreServedLater() throws IOException {
            fleet.desks.forEach(d -> d.setFault(RunnerFault.HANG));
            loseTargetsBelowBookings(fleet.desks.subList(0, 3), BOOKINGS_AT_ONCE);
            loseTargetsBelowBookings(fleet.desks.subList(3, 6), 2 * BOOKINGS_AT_ONCE);
            fleet.desks.forEach(d -> d.setFault(RunnerFault.NONE));
            for (int i = 0; i < BOOKINGS_AT_ONCE; i++) {
                String body = "booking " + i;
                assertServed(() -> statusOfSoundBooking(body));
            }
        }

        /** Sends one booking of each body, and ends targets when all bookings run. */
        private void loseTargetsBelowBookings(List<RunnerStandin> lost, int runsAfterwards)
                throws IOException {
            for (int i = 0; i < BOOKINGS_AT_ONCE; i++) {
                String body = "booking " + i;
                Tasks.start("booking", () -> statusOfSoundBooking(body));
            }
            EdgeFixture.await(
                    "running bookings", () -> fleet.runCount(fleet.desks) == runsAfterwards);
            for (RunnerStandin d : lost) {
                d.end();
            }
            Tasks.sleep(CRASH_CHECK_TIME);
        }
    }

    @Nested
    final class SeveralDaemons {
        /** Guards against daemons that each let a request end targets until they know it. */
        @Test
        void daemonsShareWhatTheyHaveSeen() throws IOException {
            try (Edge other = fleet.startAnother()) {
                EdgeFixture.await(
                        "the other daemon",
                        () -> fleet.log().contains("\"event\":\"peer\",\"host\":\"edge-2\""));
                for (int i = 0; i < REPEATS; i++) {
                    sendDeadlyBooking(fleet.edge.callerAddress());
                    sendDeadlyBooking(other.callerAddress());
                }
                assertTrue(ended(fleet.desks) <= MAX_ENDED, "ended: " + ended(fleet.desks));
            }
        }
    }

    @Nested
    final class RestartedFleet {
        /** Guards against a quarantine of a request that is lost when all daemons restart. */
        @Test
        void quarantineOutlivesTheDaemons() throws IOException {
            for (int i = 0; i < REPEATS; i++) {
                sendDeadlyBooking(fleet.edge.callerAddress());
            }
            EdgeFixture.await("stored row", () -> fleet.store.rowCount("quarantine") > 0);
            long endedBefore = ended(fleet.desks);
            fleet.edge.close();
            try (Edge restarted = fleet.startAnother()) {
                EdgeFixture.await(
                        "readiness",
                        () -> fleet.status(restarted.readinessAddress(), "/readiness") == 200);
                Tasks.sleep(CONTACT_TIME);
                assertRefused(sendDeadlyBooking(restarted.callerAddress()));
            }
            assertEquals(endedBefore, ended(fleet.desks));
        }
    }
}
