package org.godwithoist.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;
import org.godwithoist.services.ByteStream;
import org.godwithoist.services.MethodName;
import org.godwithoist.services.ServiceException;
import org.godwithoist.services.ServiceRequest;
import org.godwithoist.services.ServiceResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against callers that receive a response which is not their own, or not whole, from a
 * target that responds twice. Each response has a body of another length, so that parts of two
 * responses never fit.
 */
final class RepeatedResponsesTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final int REQUESTS = 20;
    private static final int CUT_LENGTH = 30;
    private static final int CALLERS = 6;

    private final Vertx vertx = Vertx.vertx();
    private final HttpServiceClient client = new HttpServiceClient(vertx);
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();

    /** Bodies by the request for which they were written. */
    private final Map<String, String> bodies = new ConcurrentHashMap<>();

    private ScriptedTarget standin;

    @AfterEach
    void stop() throws IOException {
        Await.result(vertx.close(), LIMIT);
        standin.close();
    }

    /** Whether a target names the request in the head of its response. */
    enum Naming {
        NAMED {
            @Override
            String field(String id) {
                return "X-Request-Id: " + id + "\r\n";
            }
        },
        UNNAMED {
            @Override
            String field(String id) {
                return "";
            }
        };

        abstract String field(String id);
    }

    /** How the head states the end of the body. */
    enum Framing {
        LENGTH {
            @Override
            String frame(String body) {
                return "Content-Length: " + body.length() + "\r\n\r\n" + body;
            }
        },
        CHUNKS {
            @Override
            String frame(String body) {
                return "Transfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(body.length())
                        + "\r\n"
                        + body
                        + "\r\n0\r\n\r\n";
            }
        },
        CLOSE {
            @Override
            String frame(String body) {
                return "\r\n" + body;
            }
        };

        abstract String frame(String body);
    }

    private String newBody(String id) {
        int run = runs.incrementAndGet();
        String body = "run " + run + " of " + id + " " + "abcdefghij".repeat(10 + run);
        bodies.put(id, body);
        return body;
    }

    private static String response(Naming naming, String id, Framing framing, String body) {
        return "HTTP/1.1 200 OK\r\nX-Service: desk\r\n" + naming.field(id) + framing.frame(body);
    }

    /** Returns the response without the last bytes of its body. */
    private static String cut(Naming naming, String id, Framing framing, String body) {
        String whole = response(naming, id, framing, body);
        return whole.substring(0, whole.indexOf(body) + CUT_LENGTH);
    }

    private void start(ScriptedTarget.Script script) throws IOException {
        standin = new ScriptedTarget(script);
    }

    private Target target() {
        return new Target(
                new TargetId("desk-1"),
                new HostId("host-1"),
                new PoolId("desk"),
                new FailureDomainId("domain-1"),
                new Endpoint("127.0.0.1", standin.port()),
                ServiceState.IN_SERVICE);
    }

    private ServiceResponse open(RequestId id, String method) {
        ServiceRequest request =
                new ServiceRequest(
                        id,
                        new WorkspaceId("jeweller"),
                        Priority.INTERACTIVE,
                        new PoolId("desk"),
                        new MethodName(method),
                        "/status",
                        List.of(),
                        false,
                        Optional.empty(),
                        Deadline.after(LIMIT, Ticker.SYSTEM));
        return client.send(target(), id, request, ByteStream.of(new byte[0]));
    }

    /** Sends a request and returns the body of the response. */
    private String send(RequestId id, String method) {
        try (ServiceResponse response = open(id, method)) {
            var body = new ByteArrayOutputStream();
            for (var chunk = response.body().next(LIMIT);
                    chunk.isPresent();
                    chunk = response.body().next(LIMIT)) {
                body.writeBytes(chunk.get());
            }
            return body.toString(StandardCharsets.US_ASCII);
        }
    }

    private RequestId nextId() {
        return new RequestId("request-" + requests.incrementAndGet());
    }

    private void sendAndCompare(String method) {
        sendAndCompare(nextId(), method);
    }

    private void sendAndCompare(RequestId id, String method) {
        String received = send(id, method);
        assertEquals(bodies.get(id.value()), received);
    }

    /** A copy of the response before arrives when the next request waits for its own. */
    @Nested
    final class CopyBeforeTheNextResponse {
        private String last = "";

        /**
         * Requests that arrived on a used connection, where a copy is written before the response.
         */
        private final Set<String> behindACopy = ConcurrentHashMap.newKeySet();

        /** Writes the last response of the connection once more in front of the next one. */
        private boolean respond(ScriptedTarget.Exchange e, Naming naming) throws IOException {
            e.write(response(naming, e.id(), Framing.LENGTH, newBody(e.id())));
            return true;
        }

        private boolean repeatLate(ScriptedTarget.Exchange e, Naming naming) throws IOException {
            String own = response(naming, e.id(), Framing.LENGTH, newBody(e.id()));
            if (!e.first()) {
                behindACopy.add(e.id());
            }
            e.write(e.first() ? own : last + own);
            last = own;
            return true;
        }

        /**
         * Guards against a copy that the next caller receives as its own response. A read on a
         * connection that is used again may be lost, which ends the use of the connection. How many
         * are lost is not fixed: a read that begins before the pool has the connection of the last
         * one back gets a new connection, on which no copy arrives.
         */
        @ParameterizedTest
        @EnumSource
        void isNotReceivedByTheNextCaller(Naming naming) throws IOException {
            start(e -> repeatLate(e, naming));
            Set<String> lost = new HashSet<>();
            for (int i = 0; i < REQUESTS; i++) {
                RequestId id = nextId();
                try {
                    sendAndCompare(id, "GET");
                } catch (ServiceException e) {
                    assertEquals(ServiceException.Kind.CONNECTION_LOST, e.kind());
                    lost.add(id.value());
                }
            }
            assertEquals(behindACopy, lost);
            assertEquals(REQUESTS - standin.connections(), lost.size());
            assertEquals(naming == Naming.NAMED, !lost.isEmpty());
        }

        /** Guards against a booking that loses its response to a copy of another one. */
        @ParameterizedTest
        @EnumSource
        void losesNoRequestThatMayRunOnlyOnce(Naming naming) throws IOException {
            start(e -> repeatLate(e, naming));
            for (int i = 0; i < REQUESTS; i++) {
                sendAndCompare("POST");
                sendAndCompare(i % 2 == 0 ? "POST" : "PUT");
            }
        }

        /** Guards against a new connection for each read at targets that name the request. */
        @Test
        void connectionIsUsedAgainIfResponsesNameTheirRequest() throws IOException {
            start(e -> respond(e, Naming.NAMED));
            for (int i = 0; i < REQUESTS; i++) {
                sendAndCompare("GET");
            }
            assertTrue(
                    standin.connections() < REQUESTS / 2, standin.connections() + " connections");
        }

        /** Guards against connections that stay open although no request uses them again. */
        @ParameterizedTest
        @EnumSource
        void connectionThatIsNotUsedAgainIsClosed(Naming naming) throws Exception {
            start(e -> respond(e, naming));
            for (int i = 0; i < REQUESTS; i++) {
                sendAndCompare(naming == Naming.NAMED ? "POST" : "GET");
            }
            Deadline limit = Deadline.after(LIMIT, Ticker.SYSTEM);
            while (standin.openConnections() > 0 && !limit.isExpired()) {
                Thread.sleep(10);
            }
            assertEquals(0, standin.openConnections());
        }

        /** Guards against reads that get a connection which is about to be closed. */
        @ParameterizedTest
        @EnumSource
        void simultaneousReadsAreAllAnswered(Naming naming) throws Exception {
            start(e -> respond(e, naming));
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int c = 0; c < CALLERS; c++) {
                CompletableFuture<Void> caller = new CompletableFuture<>();
                callers.add(caller);
                Tasks.start("caller", () -> completeAfterReads(caller));
            }
            for (CompletableFuture<Void> caller : callers) {
                Await.result(caller, LIMIT);
            }
        }

        private void completeAfterReads(CompletableFuture<Void> caller) {
            try {
                for (int i = 0; i < REQUESTS; i++) {
                    sendAndCompare("GET");
                }
                caller.complete(null);
            } catch (RuntimeException | AssertionError e) {
                caller.completeExceptionally(e);
            }
        }
    }

    /** The response breaks off, and a whole copy follows on the same connection. */
    @Nested
    final class CopyInsideTheBody {
        private String cutAndCopy(Naming naming, String id, Framing framing, Framing copy) {
            String first = cut(naming, id, framing, newBody(id));
            return first + response(naming, id, copy, newBody(id));
        }

        /** Guards against bytes of a copy that complete a body with a stated length. */
        @ParameterizedTest
        @EnumSource
        void doesNotFillTheRestOfALength(Naming naming) throws IOException {
            start(
                    e -> {
                        e.write(cutAndCopy(naming, e.id(), Framing.LENGTH, Framing.LENGTH));
                        return true;
                    });
            for (int i = 0; i < REQUESTS; i++) {
                assertThrows(ServiceException.class, () -> send(nextId(), "GET"));
            }
        }

        /** Guards against bytes of a copy that complete a chunk. */
        @ParameterizedTest
        @EnumSource
        void doesNotFillTheRestOfAChunk(Naming naming) throws IOException {
            start(
                    e -> {
                        e.write(cutAndCopy(naming, e.id(), Framing.CHUNKS, Framing.CHUNKS));
                        return false;
                    });
            for (int i = 0; i < REQUESTS; i++) {
                assertThrows(ServiceException.class, () -> send(nextId(), "GET"));
            }
        }

        /** Guards against a copy that becomes a part of a body without a stated end. */
        @ParameterizedTest
        @EnumSource
        void doesNotEndABodyWithoutAStatedEnd(Framing copy) throws IOException {
            start(
                    e -> {
                        e.write(cutAndCopy(Naming.UNNAMED, e.id(), Framing.CLOSE, copy));
                        return false;
                    });
            for (int i = 0; i < REQUESTS; i++) {
                assertThrows(ServiceException.class, () -> send(nextId(), "GET"));
            }
        }

        /** Guards against the beginning of a repeated head that becomes the end of a body. */
        @ParameterizedTest
        @ValueSource(ints = {5, 9, 11, 20})
        void beginningOfAHeadDoesNotEndABodyWithoutAStatedEnd(int length) throws IOException {
            start(
                    e -> {
                        String whole = response(Naming.UNNAMED, e.id(), Framing.CLOSE, "body");
                        e.write(whole + whole.substring(0, length));
                        return false;
                    });
            assertThrows(ServiceException.class, () -> send(nextId(), "GET"));
        }

        /** Guards against a repeated head that is not found because it arrives in pieces. */
        @Test
        void isFoundIfItArrivesByteByByte() throws IOException {
            start(
                    e -> {
                        String all =
                                cutAndCopy(Naming.UNNAMED, e.id(), Framing.LENGTH, Framing.LENGTH);
                        for (int i = 0; i < all.length(); i++) {
                            e.write(all.substring(i, i + 1));
                        }
                        return true;
                    });
            assertThrows(ServiceException.class, () -> send(nextId(), "GET"));
        }

        /** Guards against sound bodies that quote HTTP and are taken for repeated ones. */
        @ParameterizedTest
        @EnumSource(names = {"LENGTH", "CHUNKS"})
        void quotedResponseIsPassedOnIfTheEndIsStated(Framing framing) throws IOException {
            String quote = "log: HTTP/1.1 200 OK\r\nServer: other\r\nContent-Length: 2\r\n\r\nok";
            start(
                    e -> {
                        bodies.put(e.id(), quote);
                        e.write(response(Naming.UNNAMED, e.id(), framing, quote));
                        return true;
                    });
            sendAndCompare("GET");
        }
    }

    /** Only the close of the connection states the end of a body. */
    @Nested
    final class UnstatedEnd {
        private static final Duration PRESENCE_TIMEOUT = Duration.ofMillis(500);

        private boolean respond(ScriptedTarget.Exchange e, Framing framing) throws IOException {
            e.write(response(Naming.UNNAMED, e.id(), framing, newBody(e.id())));
            return framing != Framing.CLOSE;
        }

        /** Guards against an end that counts as stated because the connection closed in order. */
        @ParameterizedTest
        @EnumSource
        void isToldApartFromALengthAndChunks(Framing framing) throws IOException {
            start(e -> respond(e, framing));
            try (ServiceResponse response = open(nextId(), "GET")) {
                assertEquals(framing != Framing.CLOSE, response.statesEnd());
            }
        }

        /** Guards against a target that counts as ended although it responds. */
        @Test
        void targetThatRespondsRuns() throws IOException {
            start(e -> respond(e, Framing.LENGTH));
            assertTrue(client.isRunning(target(), PRESENCE_TIMEOUT));
        }

        /** Guards against an accepted connection that vouches for a process. */
        @Test
        void targetThatOnlyAcceptsConnectionsDoesNotRun() throws IOException {
            start(e -> false);
            assertFalse(client.isRunning(target(), PRESENCE_TIMEOUT));
        }

        /** Guards against a target that counts as running although nothing listens any more. */
        @Test
        void targetThatAcceptsNoConnectionDoesNotRun() throws IOException {
            start(e -> respond(e, Framing.LENGTH));
            standin.close();
            assertFalse(client.isRunning(target(), PRESENCE_TIMEOUT));
        }
    }
}
