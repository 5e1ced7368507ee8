package org.godwithoist.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;
import org.godwithoist.services.Fixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServiceRoutesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /**
     * Length of the response that a slow caller reads: twice the memory that its test permits, and
     * short enough to be sent well before the deadline.
     */
    private static final long LONG_RESPONSE_BYTES = 64L << 20;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private final Fixture fixture = new Fixture();
    private final AtomicInteger received = new AtomicInteger();
    private final AtomicLong streamedBytes = new AtomicLong();
    private int port;

    @BeforeEach
    void listen() {
        int servicePort =
                Await.result(
                                vertx.createHttpServer()
                                        .requestHandler(this::serve)
                                        .listen(0, "127.0.0.1"),
                                TIMEOUT)
                        .actualPort();
        fixture.addTarget("t1", new Endpoint("127.0.0.1", servicePort));
        var daemon = fixture.daemon("a", 1, fixture.tables(), new HttpServiceClient(vertx));
        Router router = Router.router(vertx);
        new ServiceRoutes(() -> Optional.of(Fixture.bundle()), daemon.proxy()).mount(router);
        port =
                Await.result(
                                vertx.createHttpServer()
                                        .requestHandler(router)
                                        .listen(0, "127.0.0.1"),
                                TIMEOUT)
                        .actualPort();
    }

    @AfterEach
    void close() {
        Await.result(vertx.close(), TIMEOUT);
    }

    /**
     * Service whose behaviour depends on the path; by default it responds with a description of the
     * request that it received.
     */
    private void serve(HttpServerRequest r) {
        received.incrementAndGet();
        HttpServerResponse response = r.response();
        if (r.path().equals("/silent")) {
            return;
        }
        if (r.path().equals("/cut")) {
            r.connection().close();
            return;
        }
        if (r.path().equals("/endless")) {
            response.setChunked(true);
            stream(response);
            return;
        }
        r.body()
                .onSuccess(
                        body -> {
                            JsonObject headers = new JsonObject();
                            r.headers().forEach(e -> headers.put(e.getKey(), e.getValue()));
                            response.headers().add("Set-Cookie", "a=1").add("Set-Cookie", "b=2");
                            response.setStatusCode(207)
                                    .putHeader("Keep-Alive", "timeout=5")
                                    .putHeader("X-Request-Id", "from the service")
                                    .putHeader("X-Service", "yes")
                                    .end(
                                            new JsonObject()
                                                    .put("method", r.method().name())
                                                    .put("uri", r.uri())
                                                    .put("headers", headers)
                                                    .put("length", body.length())
                                                    .encode());
                        });
    }

    private void stream(HttpServerResponse response) {
        Buffer chunk = Buffer.buffer(new byte[64 << 10]);
        while (!response.writeQueueFull() && streamedBytes.get() < LONG_RESPONSE_BYTES) {
            streamedBytes.addAndGet(chunk.length());
            response.write(chunk);
        }
        if (streamedBytes.get() >= LONG_RESPONSE_BYTES) {
            response.end();
            return;
        }
        response.drainHandler(v -> stream(response));
    }

    private HttpClientResponse send(
            HttpMethod method, String path, Buffer body, String... headers) {
        return Await.result(
                client.request(method, port, "127.0.0.1", "/services/tickets" + path)
                        .compose(
                                r -> {
                                    r.putHeader("Authorization", "Bearer secret");
                                    for (int i = 0; i < headers.length; i += 2) {
                                        r.putHeader(headers[i], headers[i + 1]);
                                    }
                                    return r.send(body).map(response -> response.pause());
                                }),
                TIMEOUT);
    }

    static Buffer body(HttpClientResponse r) {
        var body = r.body();
        r.resume();
        return Await.result(body, TIMEOUT);
    }

    private static JsonObject error(HttpClientResponse r) {
        return new JsonObject(body(r)).getJsonObject("error");
    }

    @Nested
    class Forwarding {
        /** Guards against requests and responses that the daemon changes in transit. */
        @Test
        void keepsMethodHeadersAndBody() {
            HttpClientResponse r =
                    send(
                            HttpMethod.PATCH,
                            "/a%20b/c?x=1&y=%2F",
                            Buffer.buffer("content"),
                            "X-Custom",
                            "v",
                            "Connection",
                            "keep-alive, X-Hop",
                            "X-Hop",
                            "1",
                            "X-Request-Id",
                            "mine");
            JsonObject seen = new JsonObject(body(r));
            JsonObject headers = seen.getJsonObject("headers");
            assertEquals(207, r.statusCode());
            assertEquals(List.of("a=1", "b=2"), r.headers().getAll("Set-Cookie"));
            assertEquals("yes", r.getHeader("X-Service"));
            assertNull(r.getHeader("Keep-Alive"));
            assertEquals(List.of("mine"), r.headers().getAll("X-Request-Id"));
            assertEquals("ran", r.getHeader("X-Run-State"));
            assertEquals("PATCH", seen.getString("method"));
            assertEquals("/a%20b/c?x=1&y=%2F", seen.getString("uri"));
            assertEquals(7, seen.getInteger("length"));
            assertEquals("v", headers.getString("X-Custom"));
            assertEquals("w", headers.getString("X-Workspace"));
            assertTrue(headers.getString("X-Request-Id").startsWith("mine."));
            assertFalse(headers.containsKey("X-Hop"));
            assertFalse(headers.containsKey("Authorization"));
        }

        /** Guards against responses to HEAD that wait for a body. */
        @Test
        void headHasNoBody() {
            HttpClientResponse r = send(HttpMethod.HEAD, "/", Buffer.buffer());
            assertEquals(207, r.statusCode());
            assertEquals(0, body(r).length());
        }

        /** Guards against a daemon that buffers a response in memory for a slow caller. */
        @Test
        void slowCallerSlowsTheServiceDown() throws Exception {
            HttpClientResponse r = send(HttpMethod.GET, "/endless", Buffer.buffer());
            Thread.sleep(500);
            long buffered = streamedBytes.get();
            assertTrue(buffered < 32L << 20, "bytes sent before the caller read any: " + buffered);
            AtomicLong count = new AtomicLong();
            r.handler(b -> count.addAndGet(b.length()));
            var end = r.end();
            r.resume();
            Await.result(end, TIMEOUT);
            assertEquals(LONG_RESPONSE_BYTES, count.get());
        }

        /** Guards against a stored response that differs from the first one on the wire. */
        @Test
        void retryWithKeyGetsTheSameResponse() {
            String[] key = {"Idempotency-Key", "k"};
            HttpClientResponse first = send(HttpMethod.POST, "/", Buffer.buffer("b"), key);
            Buffer text = body(first);
            HttpClientResponse second = send(HttpMethod.POST, "/", Buffer.buffer("b"), key);
            assertEquals(text, body(second));
            assertEquals(207, second.statusCode());
            assertEquals(
                    first.headers().getAll("Set-Cookie"), second.headers().getAll("Set-Cookie"));
            assertEquals(1, received.get());
        }
    }

    @Nested
    class Failures {
        /** Guards against run state "not run" after the service has received the request. */
        @Test
        void unresponsiveServiceIsUnknown() {
            HttpClientResponse r =
                    send(
                            HttpMethod.POST,
                            "/silent",
                            Buffer.buffer("b"),
                            "X-Deadline-Ms",
                            "300",
                            "X-Request-Id",
                            "mine");
            assertEquals(504, r.statusCode());
            assertEquals("mine", r.getHeader("X-Request-Id"));
            assertEquals("unknown", error(r).getString("run_state"));
            assertEquals(1, received.get());
        }

        /** Guards against a retry of an unsafe request whose connection was lost. */
        @Test
        void lostConnectionIsUnknown() {
            HttpClientResponse r = send(HttpMethod.POST, "/cut", Buffer.buffer("b"));
            assertEquals(502, r.statusCode());
            assertEquals("unknown", r.getHeader("X-Run-State"));
            assertEquals(1, received.get());
        }

        /** Guards against run state "unknown" when no connection was established. */
        @Test
        void unreachableServiceIsNotRun() {
            fixture.addTarget("t2", new Endpoint("127.0.0.1", 1));
            HttpClientResponse r = send(HttpMethod.POST, "/", Buffer.buffer("b"));
            assertEquals(502, r.statusCode());
            assertEquals("not_run", error(r).getString("run_state"));
        }

        /** Guards against request bodies that exhaust the memory. */
        @Test
        void oversizedBodyIsRejected() {
            Buffer tooLong = Buffer.buffer(new byte[(4 << 20) + 1]);
            HttpClientResponse r = send(HttpMethod.POST, "/", tooLong, "Idempotency-Key", "k");
            assertEquals(413, r.statusCode());
            assertEquals("not_run", error(r).getString("run_state"));
            assertEquals(0, received.get());
        }

        /**
         * Guards against requests with a wrong API key, an unknown service or an invalid request id
         * that are forwarded.
         */
        @Test
        void invalidRequestsAreRejected() {
            assertEquals(
                    401,
                    send(HttpMethod.GET, "/", Buffer.buffer(), "Authorization", "Bearer x")
                            .statusCode());
            assertEquals(404, send(HttpMethod.GET, "s/x", Buffer.buffer()).statusCode());
            assertEquals(
                    400,
                    send(HttpMethod.GET, "/", Buffer.buffer(), "X-Request-Id", "a b").statusCode());
        }
    }

    Fixture fixture() {
        return fixture;
    }

    HttpClientResponse sendRequest(String... headers) {
        return send(HttpMethod.POST, "/", Buffer.buffer("body"), headers);
    }
}
