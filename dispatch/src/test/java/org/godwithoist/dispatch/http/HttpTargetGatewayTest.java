package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.godwithoist.catalog.Route;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.RouteKind;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.catalog.WeightedService;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Attempt;
import org.godwithoist.dispatch.AttemptEvidence;
import org.godwithoist.dispatch.AttemptOutcome;
import org.godwithoist.dispatch.AttemptResult;
import org.godwithoist.dispatch.Recipient;
import org.godwithoist.dispatch.Request;
import org.godwithoist.dispatch.RequestBody;
import org.godwithoist.dispatch.RequestHead;
import org.godwithoist.dispatch.StatedEnds;
import org.godwithoist.dispatch.TargetPresence;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.TargetEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HttpTargetGatewayTest {
    /** Number of bodies from which the sizes of a route are known. */
    private static final int KNOWN_BODIES = 32;

    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration TIME_LIMIT = Duration.ofSeconds(5);
    private static final ServiceId SERVICE = new ServiceId("desk");
    private static final ServiceSpec SPEC =
            new ServiceSpec(SERVICE, 100, Duration.ZERO, 0, "/health", Optional.empty());
    private static final Route ROUTE = route("book", RouteKind.NON_IDEMPOTENT, 1);

    /** A route whose requests may be sent to a second target. */
    private static final Route READ_ROUTE = route("read", RouteKind.IDEMPOTENT, 2);

    private final Ticker ticker = Ticker.SYSTEM;
    private final EventLog log = EventLog.start(new ByteArrayOutputStream());
    private final StatedEnds statedEnds = new StatedEnds(ticker);
    private OptionalLong resumeAfter = OptionalLong.empty();
    private boolean endInDoubt;
    private boolean hasOtherTarget = true;
    private TargetServer server;
    private Target target;
    private HttpTargetGateway gateway;

    @BeforeEach
    void start() throws IOException {
        server = new TargetServer();
        TargetDirectory directory = new TargetDirectory(ticker);
        directory.put(
                new TargetEntry(
                        new TargetId("desk-1"),
                        SERVICE,
                        server.endpoint(),
                        new FailureDomainId("zone-a"),
                        8,
                        false,
                        Duration.ZERO,
                        1));
        target = directory.targets(SERVICE).getFirst();
        gateway = newGateway(Optional.empty());
    }

    private static Route route(String id, RouteKind kind, int maxAttempts) {
        return new Route(
                new RouteId(id),
                "shop.example",
                "/",
                kind,
                false,
                TIME_LIMIT,
                Duration.ofMillis(200),
                Duration.ZERO,
                1,
                List.of(new WeightedService(SERVICE, 1)),
                maxAttempts,
                true,
                false);
    }

    private HttpTargetGateway newGateway(Optional<ServiceSpec> service) {
        return new HttpTargetGateway(
                new PlainDialect(),
                t -> {},
                new Quarantine(log, ticker).waitingRequests(),
                id -> service,
                ticker);
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
    }

    private AttemptResult attempt(String path, int bodyBytes, Duration limit, TestResponse caller) {
        return attempt(ROUTE, "POST", path, bodyBytes, limit, caller);
    }

    private AttemptResult attempt(
            Route route,
            String method,
            String path,
            int bodyBytes,
            Duration limit,
            TestResponse caller) {
        RequestHead head =
                new RequestHead(
                        new RequestId("id-of-" + path),
                        method,
                        path,
                        "shop.example",
                        Optional.of(limit),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        resumeAfter,
                        Optional.empty(),
                        List.of());
        Request request =
                new Request(head, RequestBody.of(new byte[bodyBytes]), true, ticker.nanos());
        return gateway.attempt(
                new Attempt(
                        request,
                        route,
                        Recipient.TARGET,
                        target,
                        Optional.empty(),
                        Optional.empty(),
                        1,
                        Deadline.after(limit, ticker),
                        Optional.empty(),
                        resumeAfter,
                        Optional.empty(),
                        endInDoubt,
                        hasOtherTarget,
                        false,
                        statedEnds,
                        target.startWaiting(),
                        AttemptEvidence.NONE),
                caller);
    }

    private AttemptResult attempt(String path, TestResponse caller) {
        return attempt(path, 10, TIME_LIMIT, caller);
    }

    private static String head(int status, String fields) {
        return "HTTP/1.1 " + status + " Status\r\nKeep-Alive: 5\r\n" + fields + "\r\n";
    }

    private CompletableFuture<AttemptResult> startHeldRequest(TestResponse caller)
            throws InterruptedException {
        CompletableFuture<AttemptResult> result = new CompletableFuture<>();
        Tasks.start("held", () -> result.complete(attempt(TargetServer.HELD, caller)));
        server.awaitHeld();
        return result;
    }

    /** Scenario: the daemon has withdrawn all requests and is about to exit. */
    @Nested
    final class StoppedDaemon {
        /** Guards against a repeat that is sent after the withdrawal and cut off by the exit. */
        @Test
        void sendsNothingMore() {
            gateway.stop();
            AttemptResult result = attempt("/late", new TestResponse(() -> {}));
            assertEquals(AttemptOutcome.NOT_SENT, result.outcome());
            assertFalse(result.outcome().mayHaveRun());
        }

        /** Guards against a caller that gets no answer before the exit. */
        @Test
        void requestsInProgressAreWithdrawn() {
            assertTimeoutPreemptively(
                    TEST_TIMEOUT,
                    () -> {
                        CompletableFuture<AttemptResult> held =
                                startHeldRequest(new TestResponse(() -> {}));
                        gateway.stop();
                        assertEquals(AttemptOutcome.WITHDRAWN, held.get().outcome());
                    });
        }
    }

    /** Scenario: a request has ended, and the next one has its connection. */
    @Nested
    final class PausedTarget {
        /** Guards against questions to a target that has asked this daemon for a pause. */
        @Test
        void isNotAskedWhoItIs() {
            target.pauseFor(TIME_LIMIT);
            // The dialect of this test fails if it is to write or read a question.
            assertEquals(
                    TargetPresence.UNIDENTIFIED,
                    newGateway(Optional.of(SPEC)).findPresence(target));
        }

        /** Guards against a target that is taken for alive because it has asked for a pause. */
        @Test
        void isKnownToHaveEnded() throws IOException {
            target.pauseFor(TIME_LIMIT);
            server.close();
            assertEquals(TargetPresence.ENDED, newGateway(Optional.of(SPEC)).findPresence(target));
        }
    }

    @Nested
    final class ReusedConnection {
        private static final int CALLERS_THAT_LEAVE = 200;

        /** Time in which the read-ahead buffer of a connection is filled again. */
        private static final Duration BUFFER_FILL_TIME = Duration.ofMillis(2);

        /** Size of a body that is sent with a limit of time. */
        private static final int GUARDED_BODY_BYTES = 4096;

        private void assertHeldRequestIsAnswered(
                CompletableFuture<AttemptResult> result, TestResponse caller)
                throws InterruptedException, ExecutionException {
            server.releaseHeld();
            assertEquals(AttemptOutcome.ANSWERED, result.get().outcome(), result.get().detail());
            assertEquals(TargetServer.HELD, caller.body());
            assertEquals(1, result.get().connection().orElseThrow().earlierRequests());
        }

        /**
         * Guards against a request whose connection is closed because the caller of an earlier
         * request on it has left.
         */
        @Test
        void disconnectActionOfAnEndedRequestDoesNotCloseIt() {
            assertTimeoutPreemptively(
                    TEST_TIMEOUT,
                    () -> {
                        TestResponse left = new TestResponse(() -> {});
                        attempt("/first", left);
                        TestResponse staying = new TestResponse(() -> {});
                        CompletableFuture<AttemptResult> held = startHeldRequest(staying);
                        left.disconnectAction().run();
                        assertHeldRequestIsAnswered(held, staying);
                    });
        }

        /**
         * Guards against a response without a stated end that is cut by the same close and reaches
         * its caller as complete.
         */
        @Test
        void disconnectActionOfAnEndedRequestDoesNotCutItsBody() {
            assertTimeoutPreemptively(
                    TEST_TIMEOUT,
                    () -> {
                        TestResponse left = new TestResponse(() -> {});
                        attempt("/first", left);
                        TestResponse staying = new TestResponse(() -> {});
                        staying.onWrite =
                                () -> {
                                    Tasks.sleep(BUFFER_FILL_TIME);
                                    left.disconnectAction().run();
                                };
                        AttemptResult result = attempt(TargetServer.LARGE_UNFRAMED, staying);
                        assertEquals(AttemptOutcome.ANSWERED, result.outcome(), result.detail());
                        assertEquals(TargetServer.LARGE_BODY_BYTES, staying.body().length());
                    });
        }

        /** Guards against a withdrawal that closes the connection of a request with a response. */
        @Test
        void withdrawalAtTheEndOfARequestDoesNotCloseIt() {
            assertTimeoutPreemptively(
                    TEST_TIMEOUT,
                    () -> {
                        attempt("/first", new TestResponse(gateway::withdrawAll));
                        TestResponse staying = new TestResponse(() -> {});
                        CompletableFuture<AttemptResult> held = startHeldRequest(staying);
                        assertHeldRequestIsAnswered(held, staying);
                    });
        }

        /** Guards against the time limit of an earlier request's sending. */
        @Test
        void sendDeadlineOfAnEndedRequestDoesNotCloseIt() {
            assertTimeoutPreemptively(
                    TEST_TIMEOUT,
                    () -> {
                        Duration limit = Duration.ofMillis(200);
                        attempt("/first", GUARDED_BODY_BYTES, limit, new TestResponse(() -> {}));
                        TestResponse staying = new TestResponse(() -> {});
                        CompletableFuture<AttemptResult> held = startHeldRequest(staying);
                        Tasks.sleep(limit.multipliedBy(2));
                        assertHeldRequestIsAnswered(held, staying);
                    });
        }

        /**
         * Guards against a connection that is pooled although this daemon has closed it, because a
         * caller left when it had its response.
         */
        @Test
        void connectionClosedByADepartureIsNotReused() {
            assertTimeoutPreemptively(
                    TEST_TIMEOUT,
                    () -> {
                        for (int i = 0; i < CALLERS_THAT_LEAVE; i++) {
                            TestResponse leaving = new TestResponse();
                            attempt("/leaving", leaving);
                            AttemptResult next = attempt("/next", new TestResponse(() -> {}));
                            assertEquals(AttemptOutcome.ANSWERED, next.outcome(), next.detail());
                        }
                    });
        }
    }

    /** Scenario: a response breaks off, and other bytes follow it on the connection. */
    @Nested
    final class BrokenResponse {
        private static final String WHOLE = "some text of a response ".repeat(40);
        private static final int CUT = 500;

        private static String length(int bytes) {
            return "Content-Length: " + bytes + "\r\n";
        }

        private AttemptResult attemptWith(String response, TestResponse caller) {
            server.respond("/broken", response);
            return attempt("/broken", caller);
        }

        /** Guards against a failure response filled up by a copy without an id. */
        @Test
        void failureFilledUpByACopyIsNotPassedOn() {
            String response =
                    head(500, "Id: {id}\r\n" + length(WHOLE.length()))
                            + WHOLE.substring(0, CUT)
                            + head(500, length(WHOLE.length()))
                            + WHOLE;
            AttemptResult result = attemptWith(response, new TestResponse());
            assertEquals(AttemptOutcome.LOST, result.outcome(), result.detail());
        }

        /** Guards against a part of a failure response that is told as whole. */
        @Test
        void failureBeforeAPartOfAHeadIsNotPassedOn() {
            String response =
                    head(500, "Id: {id}\r\n")
                            + WHOLE.substring(0, CUT)
                            + head(500, "Id: {id}\r\n").substring(0, 20);
            AttemptResult result = attemptWith(response, new TestResponse());
            assertEquals(AttemptOutcome.LOST, result.outcome(), result.detail());
        }

        /** Guards against an empty failure of the same target that passes for an equal copy. */
        @Test
        void emptyResponseBeforeAnEmptyFailureIsNotWhole() {
            String response = head(200, "Id: {id}\r\n") + head(500, length(0));
            AttemptResult result = attemptWith(response, new TestResponse());
            assertEquals(AttemptOutcome.LOST, result.outcome(), result.detail());
        }

        /** Guards against a copy that another copy fills up. */
        @Test
        void copyFilledUpByAnotherCopyIsNotTheResponse() {
            String stated = head(200, "Id: {id}\r\n" + length(WHOLE.length()));
            String response =
                    head(200, "Id: {id}\r\n")
                            + WHOLE.substring(0, CUT / 2)
                            + stated
                            + WHOLE.substring(0, CUT)
                            + stated
                            + WHOLE;
            TestResponse caller = new TestResponse();
            AttemptResult result = attemptWith(response, caller);
            assertEquals(AttemptOutcome.LOST, result.outcome(), caller.body());
        }

        /** Guards against a whole response that is lost because two copies follow it. */
        @Test
        void wholeResponseBeforeTwoCopiesIsPassedOn() {
            String response = head(200, "Id: {id}\r\n") + WHOLE;
            TestResponse caller = new TestResponse();
            AttemptResult result = attemptWith(response + response + response, caller);
            assertEquals(AttemptOutcome.ANSWERED, result.outcome(), result.detail());
            assertEquals(WHOLE, caller.body());
        }

        /** Guards against a chunk that ends where the copy in it has a line end and a size. */
        @Test
        void chunkFilledUpByACopyInChunksIsNotWhole() {
            String id = "Id: id-of-/broken\r\n";
            String head = head(200, id + "Transfer-Encoding: chunked\r\n");
            String chunk = Integer.toHexString(WHOLE.length()) + "\r\n" + WHOLE;
            int missing = head.length() - 2;
            String size = Integer.toHexString(CUT + missing) + "\r\n";
            String copy = head + chunk + "\r\n0\r\n\r\n";
            String response = head + size + WHOLE.substring(0, CUT) + copy;
            AttemptResult result = attemptWith(response, new TestResponse());
            assertEquals(AttemptOutcome.LOST, result.outcome(), result.detail());
        }

        /**
         * Guards against two parts on one connection that were cut at the same place and confirm
         * each other.
         */
        @Test
        void partBeforeACopyThatIsCutAtTheSamePlaceIsNotToldAsWhole() {
            String part = head(200, "Id: {id}\r\n") + WHOLE.substring(0, CUT);
            TestResponse caller = new TestResponse();
            attemptWith(part + part, caller);
            assertFalse(caller.statesEnd(), "the end of a part was stated");
        }

        /** Guards against the size of another response that confirms a part. */
        @Test
        void partBeforeAnUnnamedResponseOfItsSizeIsNotToldAsWhole() {
            String response =
                    head(200, "Id: {id}\r\n")
                            + WHOLE.substring(0, CUT)
                            + head(200, length(CUT))
                            + "x".repeat(CUT);
            TestResponse caller = new TestResponse();
            AttemptResult result = attemptWith(response, caller);
            assertFalse(caller.statesEnd(), "the end of a part was stated");
            assertEquals(AttemptOutcome.LOST, result.outcome(), result.detail());
        }

        /** Guards against a chunk filled up by a copy in chunks that has no id. */
        @Test
        void chunkFilledUpByAnUnnamedCopyInChunksIsNotWhole() {
            String coding = "Transfer-Encoding: chunked\r\n";
            String chunk = Integer.toHexString(WHOLE.length()) + "\r\n" + WHOLE;
            String unnamed = head(200, coding);
            String size = Integer.toHexString(CUT + unnamed.length() - 2) + "\r\n";
            String response =
                    head(200, "Id: {id}\r\n" + coding)
                            + size
                            + WHOLE.substring(0, CUT)
                            + unnamed
                            + chunk
                            + "\r\n0\r\n\r\n";
            TestResponse caller = new TestResponse();
            AttemptResult result = attemptWith(response, caller);
            assertEquals(AttemptOutcome.LOST, result.outcome(), caller.body());
        }

        /** Guards against a copy without fields of a target that is told as a part of the body. */
        @Test
        void unnamedCopyBehindABodyWithoutAStatedEndDoesNotReachTheCaller() {
            String response = head(200, "Id: {id}\r\n") + WHOLE + head(200, "") + WHOLE;
            TestResponse caller = new TestResponse();
            attemptWith(response, caller);
            assertFalse(caller.body().contains("HTTP/1.1"), caller.body());
        }

        /** Guards against a long whole response that is broken off because of its copy. */
        @Test
        void longResponseBeforeItsCopyIsPassedOn() {
            String body = WHOLE.repeat(2 * ResponseForwarder.MAX_BUFFERED_BYTES / WHOLE.length());
            String response = head(200, "Id: {id}\r\n") + body;
            TestResponse caller = new TestResponse();
            AttemptResult result = attemptWith(response + response, caller);
            assertEquals(AttemptOutcome.ANSWERED, result.outcome(), result.detail());
            assertEquals(body, caller.body());
        }
    }

    /** Scenario: the status says that there is no body. */
    @Nested
    final class ResponseWithoutABody {
        /** Guards against whole bodies that are refused because an empty response has no body. */
        @Test
        void doesNotCountAsAStatedEnd() {
            server.respond("/empty", "HTTP/1.1 204 Status\r\nKeep-Alive: 5\r\nId: {id}\r\n\r\n");
            AttemptResult result = attempt("/empty", new TestResponse());
            assertEquals(AttemptOutcome.ANSWERED, result.outcome(), result.detail());
            assertFalse(statedEnds.areUsual(SERVICE, ROUTE.id()));
        }

        /** Guards against another attempt for each one, because bodies of the route are longer. */
        @Test
        void isNotComparedWithTheSizesOfBodies() {
            for (int i = 0; i < KNOWN_BODIES; i++) {
                statedEnds.record(SERVICE, READ_ROUTE.id(), 100);
            }
            server.respond("/empty", head(204, "Id: {id}\r\n"));
            assertIsAnswered("GET");
            server.respond("/empty", head(200, "Id: {id}\r\nContent-Length: 100\r\n"));
            assertIsAnswered("HEAD");
        }

        private void assertIsAnswered(String method) {
            AttemptResult result =
                    attempt(READ_ROUTE, method, "/empty", 0, TIME_LIMIT, new TestResponse());
            assertEquals(AttemptOutcome.ANSWERED, result.outcome(), method);
        }
    }

    /** Scenario: nothing is known of a route, and a target sends a long body without its end. */
    @Nested
    final class LongBodyOfUnknownLength {
        private AttemptOutcome read() {
            TestResponse caller = new TestResponse(() -> {});
            return attempt(READ_ROUTE, "GET", TargetServer.LARGE_UNFRAMED, 0, TIME_LIMIT, caller)
                    .outcome();
        }

        /** Guards against junk that is passed on because it followed another doubt once. */
        @Test
        void isAskedForAgainAfterAnotherDoubt() {
            endInDoubt = true;
            assertEquals(AttemptOutcome.ANSWERED, read());
            endInDoubt = false;
            assertEquals(AttemptOutcome.UNCONFIRMED, read());
        }

        /** Guards against sound bodies that a service with one target can never deliver. */
        @Test
        void isPassedOnWhereNoOtherTargetCanBeAsked() {
            hasOtherTarget = false;
            assertEquals(AttemptOutcome.ANSWERED, read());
        }
    }

    /** Scenario: the bodies of a service have changed their size. */
    @Nested
    final class BodyOfAnUnusualSize {
        private AttemptOutcome read() {
            for (int i = 0; i < KNOWN_BODIES; i++) {
                statedEnds.record(SERVICE, READ_ROUTE.id(), 100);
            }
            TestResponse caller = new TestResponse(() -> {});
            return attempt(READ_ROUTE, "GET", "/stated", 0, TIME_LIMIT, caller).outcome();
        }

        /** Guards against junk that is delivered although another target can be asked. */
        @Test
        void isComparedWithThatOfAnotherTarget() {
            assertEquals(AttemptOutcome.UNCONFIRMED, read());
        }

        /** Guards against a delay and a new connection for each read where there is none. */
        @Test
        void isPassedOnAtOnceWhereNoOtherTargetCanBeAsked() {
            hasOtherTarget = false;
            assertEquals(AttemptOutcome.ANSWERED, read());
        }
    }

    /** Scenario: a caller names its last event on a route whose streams begin anew each time. */
    @Nested
    final class StreamThatCannotBeResumed {
        /**
         * Guards against a sound stream that is broken off because it begins with its first event.
         */
        @Test
        void mayBeginBeforeTheEventOfTheCaller() {
            String events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            String length = "Content-Length: " + events.length() + "\r\n";
            server.respond("/events", head(200, "Id: {id}\r\n" + length) + events);
            resumeAfter = OptionalLong.of(7);
            Route route = route("events", RouteKind.STREAMING, 1);
            TestResponse caller = new TestResponse();
            AttemptResult result = attempt(route, "GET", "/events", 0, TIME_LIMIT, caller);
            assertEquals(AttemptOutcome.ANSWERED, result.outcome(), result.detail());
            assertEquals(events, caller.body());
        }
    }

    /** Scenario: a target responds while the request is still being sent to it. */
    @Nested
    final class ResponseBeforeTheEndOfTheRequest {
        private AttemptResult upload(int bytes, String response, TestResponse caller) {
            String path = "/upload-" + bytes;
            server.respondEarly(path, response);
            return attempt(path, bytes, TIME_LIMIT, caller);
        }

        /**
         * Guards against a part of a response that is told as a whole one, because the target has
         * closed its side in an orderly way without having read the request.
         */
        @Test
        void isNotCompleteWithoutAStatedEnd() {
            for (int bytes : new int[] {1 << 20, 4 << 20, 24 << 20}) {
                TestResponse caller = new TestResponse(() -> {});
                AttemptResult result = upload(bytes, head(200, "Id: {id}\r\n") + "part", caller);
                assertEquals(AttemptOutcome.LOST, result.outcome(), bytes + ": " + result.detail());
                assertFalse(caller.started(), "a part was told: " + caller.body());
            }
        }

        /** Guards against an early response that is lost although its end is stated. */
        @Test
        void isCompleteWithAStatedEnd() {
            TestResponse caller = new TestResponse(() -> {});
            AttemptResult result =
                    upload(
                            4 << 20,
                            head(200, "Id: {id}\r\nContent-Length: 5\r\n") + "whole",
                            caller);
            assertEquals(AttemptOutcome.ANSWERED, result.outcome(), result.detail());
            assertEquals("whole", caller.body());
        }
    }

    /** Scenario: a target in trouble sends a status that HTTP does not permit. */
    @Nested
    final class InvalidStatus {
        /** Guards against a response without a meaning that reaches the caller. */
        @Test
        void isNotPassedOn() {
            for (int status : new int[] {0, 99, 600, 999}) {
                String path = "/status-" + status;
                String line = "HTTP/1.1 %03d Status\r\nKeep-Alive: 5\r\n".formatted(status);
                server.respond(path, line + "Id: {id}\r\nContent-Length: 5\r\n\r\nwhole");
                AttemptResult result = attempt(path, new TestResponse(() -> {}));
                assertEquals(AttemptOutcome.INVALID, result.outcome(), path);
            }
        }
    }
}
