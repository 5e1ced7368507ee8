package org.godwithoist.chat.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.godwithoist.accounting.Usage;
import org.godwithoist.chat.EngineEvent;
import org.godwithoist.chat.EngineException;
import org.godwithoist.chat.EngineStream;
import org.godwithoist.chat.Fleet;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.membership.Target;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong engine protocol, run state or reuse of dead connections. Uses an HTTP
 * server on loopback.
 */
final class HttpEngineClientTest {
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final RequestId ATTEMPT = new RequestId("attempt");

    private final Vertx vertx = Vertx.vertx();
    private final HttpEngineClient client = new HttpEngineClient(vertx);
    private Consumer<HttpServerRequest> behaviour = r -> r.response().end();
    private final Target engine;

    HttpEngineClientTest() {
        HttpServer server =
                Await.result(
                        vertx.createHttpServer()
                                .requestHandler(r -> behaviour.accept(r))
                                .listen(0, "127.0.0.1"),
                        PATIENCE);
        String address = "127.0.0.1:" + server.actualPort();
        engine = Fleet.target(new TargetId("engine"), address, ServiceState.IN_SERVICE);
    }

    @AfterEach
    void close() {
        Await.result(vertx.close(), PATIENCE);
    }

    private EngineStream open(String alreadySent) {
        var request = Fleet.request("antwerp", PATIENCE, Optional.empty());
        return Await.result(client.open(engine, ATTEMPT, request, alreadySent), PATIENCE);
    }

    private EngineException.Kind kindOfStatus(int status) {
        behaviour = r -> r.response().setStatusCode(status).end();
        return assertThrows(EngineException.class, () -> open("")).kind();
    }

    @Nested
    final class Answers {
        private static final String EVENTS =
                """
                : keepalive

                id: 1
                data: {"choices":[{"delta":{"content":"a"},"finish_reason":"length"}]}

                data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":1}}

                data: [DONE]

                """;

        @Test
        void requestCarriesTheProtocolAndEventsAreRead() {
            var sent = new CompletableFuture<JsonObject>();
            var headers = new CompletableFuture<MultiMap>();
            behaviour =
                    r -> {
                        headers.complete(r.headers());
                        r.bodyHandler(
                                b -> {
                                    sent.complete(b.toJsonObject());
                                    r.response().end(EVENTS);
                                });
                    };
            List<EngineEvent> events = new ArrayList<>();
            try (EngineStream stream = open("before ")) {
                do {
                    events.add(Await.result(stream.next(), PATIENCE));
                } while (!(events.getLast() instanceof EngineEvent.End));
            }
            assertEquals("before ", sent.join().getString("continue_from"));
            assertEquals("attempt", headers.join().get("X-Request-Id"));
            assertEquals("urgent", headers.join().get("X-Priority"));
            assertEquals(new EngineEvent.End(new Usage(1, 3, 0, 1), "length"), events.getLast());
            assertEquals(1, events.stream().filter(EngineEvent.Piece.class::isInstance).count());
        }

        @Test
        void answerOfAnotherRequestIsNotPassedOn() {
            behaviour = r -> r.response().putHeader("X-Request-Id", "other").end("data: x\n\n");
            var e = assertThrows(EngineException.class, () -> open(""));
            assertEquals(EngineException.Kind.LOST, e.kind());
        }

        @Test
        void statusTellsWhetherTheRequestMayHaveRun() {
            assertEquals(EngineException.Kind.REFUSED, kindOfStatus(503));
            assertEquals(EngineException.Kind.REFUSED, kindOfStatus(429));
            assertEquals(EngineException.Kind.INVALID, kindOfStatus(400));
            assertEquals(EngineException.Kind.FAILED, kindOfStatus(500));
        }
    }

    /** Guards against using further dead connections after one has become unresponsive. */
    @Nested
    final class SilentConnection {
        @Test
        void idleConnectionsAreNotUsedAgainAfterOneWasSilent() throws Exception {
            Set<HttpConnection> old = ConcurrentHashMap.newKeySet();
            behaviour =
                    r -> {
                        old.add(r.connection());
                        vertx.setTimer(100, t -> r.response().end("{}"));
                    };
            var one = client.knows(engine, ATTEMPT).subscribeAsCompletionStage();
            var two = client.knows(engine, ATTEMPT).subscribeAsCompletionStage();
            assertTrue(Await.result(one, PATIENCE) && Await.result(two, PATIENCE));
            assertEquals(2, old.size());
            behaviour =
                    r -> {
                        if (!old.contains(r.connection())) {
                            r.response().end("{}");
                        }
                    };
            Thread.sleep(1_000);
            client.distrustConnections(engine);
            assertTrue(Await.result(client.knows(engine, ATTEMPT), Duration.ofSeconds(1)));
        }

        @Test
        void requestGivenUpIsResetSoThatItCannotRunLater() {
            var closed = new CompletableFuture<Void>();
            var arrived = new CompletableFuture<Void>();
            behaviour =
                    r -> {
                        r.connection().closeHandler(closed::complete);
                        arrived.complete(null);
                    };
            var opening = client.resume(engine, ATTEMPT, 0).subscribeAsCompletionStage();
            Await.result(arrived, PATIENCE);
            opening.cancel(true);
            Await.result(closed, PATIENCE);
        }
    }
}
