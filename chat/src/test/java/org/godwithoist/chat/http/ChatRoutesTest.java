package org.godwithoist.chat.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.chat.ChatTimings;
import org.godwithoist.chat.FakeEngines;
import org.godwithoist.chat.Fleet;
import org.godwithoist.core.task.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses and errors that stock client libraries cannot parse. Uses real
 * connections on loopback.
 */
final class ChatRoutesTest {
    private static final Duration RECEIVE_TIMEOUT = Duration.ofMillis(500);
    private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"Hi\"}]";
    private static final String BUFFERED_REQUEST = "{\"model\":\"assistant\"," + MESSAGES + "}";
    private static final String STREAM_REQUEST =
            "{\"model\":\"assistant\",\"stream\":true," + MESSAGES + "}";

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final Fleet fleet = new Fleet(2);
    private final int port;

    ChatRoutesTest() {
        Router router = Router.router(vertx);
        var service =
                fleet.daemon(
                        "daemon-1",
                        ChatTimings.DEFAULT.withRetryBudgetTimeout(Duration.ofMillis(100)));
        new ChatRoutes(() -> Optional.of(fleet.bundle()), service, RECEIVE_TIMEOUT).mount(router);
        HttpServer server =
                Await.result(
                        new CallerServer(vertx, RECEIVE_TIMEOUT, Duration.ofSeconds(60))
                                .create(router)
                                .listen(0, "127.0.0.1"),
                        Duration.ofSeconds(5));
        port = server.actualPort();
    }

    @AfterEach
    void close() {
        client.close();
        Await.result(vertx.close(), Duration.ofSeconds(5));
    }

    private HttpResponse<String> send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(20));
    }

    private HttpRequest.Builder post(String body) {
        return request("/v1/chat/completions")
                .header("Authorization", "Bearer key-of-antwerp")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private static List<JsonObject> chunks(String body) {
        return body.lines()
                .filter(l -> l.startsWith("data: {"))
                .map(l -> new JsonObject(l.substring(6)))
                .toList();
    }

    private static JsonObject choice(JsonObject o) {
        return o.getJsonArray("choices").getJsonObject(0);
    }

    private void assertBadRequest(HttpRequest.Builder request) throws Exception {
        assertError(send(request), 400, "bad_request", "not_run");
    }

    private static void assertError(
            HttpResponse<String> response, int status, String code, String runState) {
        assertEquals(status, response.statusCode(), response.body());
        JsonObject error = new JsonObject(response.body()).getJsonObject("error");
        assertEquals(code, error.getString("code"));
        assertEquals(runState, error.getString("run_state"));
        assertEquals(runState, response.headers().firstValue("X-Run-State").orElse(""));
        assertEquals(
                response.headers().firstValue("X-Request-Id").orElse(""),
                error.getString("request_id"));
        assertFalse(error.getString("type").isEmpty());
        assertFalse(error.getString("message").isEmpty());
    }

    /** Guards against responses without the fields that client libraries expect. */
    @Nested
    final class Responses {
        @Test
        void bufferedResponseHasTheStandardFields() throws Exception {
            HttpResponse<String> r = send(post(BUFFERED_REQUEST).header("X-Request-Id", "my-id"));
            assertEquals(200, r.statusCode(), r.body());
            assertEquals("my-id", r.headers().firstValue("X-Request-Id").orElse(""));
            assertEquals("ran", r.headers().firstValue("X-Run-State").orElse(""));
            JsonObject o = new JsonObject(r.body());
            assertEquals("chatcmpl-my-id", o.getString("id"));
            assertEquals("chat.completion", o.getString("object"));
            assertEquals("assistant", o.getString("model"));
            assertTrue(o.getLong("created") > 1_700_000_000);
            assertEquals("stop", choice(o).getString("finish_reason"));
            JsonObject message = choice(o).getJsonObject("message");
            assertEquals("assistant", message.getString("role"));
            assertEquals(FakeEngines.completeText(), message.getString("content"));
            assertEquals(108, o.getJsonObject("usage").getLong("total_tokens"));
        }

        @Test
        void streamHasRoleFinishReasonAndEndMarkerButNoUsage() throws Exception {
            HttpResponse<String> r = send(post(STREAM_REQUEST));
            List<JsonObject> chunks = chunks(r.body());
            assertEquals(FakeEngines.WORDS + 1, chunks.size());
            for (JsonObject c : chunks) {
                assertEquals("chat.completion.chunk", c.getString("object"));
                assertEquals(chunks.getFirst().getString("id"), c.getString("id"));
                assertEquals("assistant", c.getString("model"));
                assertFalse(c.containsKey("usage"));
            }
            JsonObject first = choice(chunks.getFirst()).getJsonObject("delta");
            assertEquals("assistant", first.getString("role"));
            assertEquals("stop", choice(chunks.getLast()).getString("finish_reason"));
            assertEquals("ran", chunks.getLast().getString("run_state"));
            assertTrue(r.body().endsWith("data: [DONE]\n\n"));
        }

        @Test
        void usageChunkIsLastIfRequested() throws Exception {
            String body =
                    STREAM_REQUEST.replace(
                            "\"stream\":true",
                            "\"stream\":true,\"stream_options\":{\"include_usage\":true}");
            JsonObject last = chunks(send(post(body)).body()).getLast();
            assertEquals(new JsonArray(), last.getJsonArray("choices"));
            assertEquals(8, last.getJsonObject("usage").getInteger("completion_tokens"));
        }

        @Test
        void reconnectingCallerGetsTheRest() throws Exception {
            fleet.slowEngines(50);
            String id = "reconnect";
            var request = post(STREAM_REQUEST).header("X-Request-Id", id).build();
            try (var lines = client.send(request, HttpResponse.BodyHandlers.ofLines()).body()) {
                assertEquals(
                        "id: 2",
                        lines.filter(l -> l.startsWith("id:")).skip(1).findFirst().orElse(""));
            }
            HttpResponse<String> rest =
                    send(
                            post(STREAM_REQUEST)
                                    .header("X-Request-Id", id)
                                    .header("Last-Event-ID", "2"));
            assertTrue(rest.body().startsWith("id: 3\n"), rest.body());
            assertEquals(FakeEngines.WORDS - 2 + 1, chunks(rest.body()).size());
        }

        @Test
        void failureDuringAStreamIsAnErrorEventWithoutEndMarker() throws Exception {
            fleet.crashEnginesAt(3);
            HttpResponse<String> r = send(post(STREAM_REQUEST).header("X-Deadline-Ms", "1500"));
            JsonObject error = chunks(r.body()).getLast().getJsonObject("error");
            assertEquals("unknown", error.getString("run_state"));
            assertFalse(r.body().contains("[DONE]"));
        }

        @Test
        void modelsAreListed() throws Exception {
            JsonObject list = new JsonObject(send(request("/v1/models")).body());
            assertEquals("list", list.getString("object"));
            assertEquals("assistant", list.getJsonArray("data").getJsonObject(0).getString("id"));
            assertEquals(200, send(request("/v1/models/assistant")).statusCode());
            assertError(send(request("/v1/models/other")), 404, "not_found", "not_run");
        }
    }

    /** Guards against errors of invalid requests that do not state that nothing was run. */
    @Nested
    final class InvalidRequests {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "{",
                    "[]",
                    "null",
                    "{\"model\":\"assistant\"}",
                    "{\"model\":\"assistant\",\"messages\":[]}",
                    "{\"model\":\"assistant\",\"messages\":\"Hi\"}",
                    "{\"model\":\"assistant\",\"messages\":[7]}",
                    "{\"model\":\"assistant\",\"messages\":[{\"role\":1}]}",
                    "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":5}]}",
                    "{\"model\":7,\"messages\":[{\"role\":\"user\"}]}",
                    "{\"model\":\"assistant\",\"stream\":\"yes\",\"messages\":[{\"role\":\"u\"}]}",
                    "{\"model\":\"assistant\",\"n\":2,\"messages\":[{\"role\":\"user\"}]}",
                    "{\"model\":\"assistant\",\"stream_options\":1,\"messages\":[{\"role\":\"u\"}]}"
                })
        void bodyIsRejected(String body) throws Exception {
            assertBadRequest(post(body));
        }

        /** Guards against a short text whose values take all memory. */
        @Test
        void veryManyValuesAreRejected() throws Exception {
            String many = "\"tools\":[{}" + ",{}".repeat(100_000) + "],";
            assertBadRequest(post("{\"model\":\"assistant\"," + many + MESSAGES + "}"));
        }

        @Test
        void manyValuesAreServed() throws Exception {
            String many = "\"tools\":[{}" + ",{}".repeat(40_000) + "],";
            var response = send(post("{\"model\":\"assistant\"," + many + MESSAGES + "}"));
            assertEquals(200, response.statusCode(), response.body());
        }

        @Test
        void deeplyNestedBodyIsRejected() throws Exception {
            String body = "{\"model\":" + "[".repeat(100_000);
            assertBadRequest(post(body));
        }

        @Test
        void headersAreRejected() throws Exception {
            for (String header : List.of("X-Priority", "Last-Event-ID", "X-Deadline-Ms")) {
                assertBadRequest(
                        post(BUFFERED_REQUEST).header(header, "-x-").header("X-Request-Id", "a"));
            }
            assertBadRequest(post(BUFFERED_REQUEST).header("X-Request-Id", "a b"));
        }

        @Test
        void unknownModelOrPathAndExpiredDeadline() throws Exception {
            String body = BUFFERED_REQUEST.replace("assistant", "other");
            assertError(send(post(body)), 404, "not_found", "not_run");
            assertError(send(request("/v1/other")), 404, "not_found", "not_run");
            var late = send(post(BUFFERED_REQUEST).header("X-Deadline-Ms", "0"));
            assertError(late, 504, "deadline_exceeded", "not_run");
        }

        @Test
        void missingAndWrongKeys() throws Exception {
            for (String key : List.of("", "Bearer wrong", "Basic key-of-antwerp", "Bearer ")) {
                var wrong = post(BUFFERED_REQUEST).setHeader("Authorization", key);
                assertError(send(wrong), 401, "unauthenticated", "not_run");
            }
        }
    }

    /** Guards against callers that hold memory by sending too much, too slowly or nothing. */
    @Nested
    final class HostileConnections {
        private static final String HEAD =
                """
                POST /v1/chat/completions HTTP/1.1\r
                Host: a\r
                Authorization: Bearer key-of-antwerp\r
                """;

        private String raw(String text) throws IOException {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(5_000);
                socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            }
        }

        @Test
        void declaredOversizedBodyIsRejectedBeforeItIsRead() throws Exception {
            String r = raw(HEAD + "Content-Length: 5000000\r\n\r\n");
            assertTrue(r.startsWith("HTTP/1.1 413"), r);
            assertTrue(r.contains("\"body_too_large\""), r);
        }

        @Test
        void undeclaredOversizedBodyIsRejected() throws Exception {
            String chunk = "100000\r\n" + "x".repeat(0x100000) + "\r\n";
            String r = raw(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(5));
            assertTrue(r.startsWith("HTTP/1.1 413"), r);
        }

        @Test
        void oversizedHeadIsRejected() throws Exception {
            String r = raw(HEAD + "X-Long: " + "x".repeat(17_000) + "\r\n\r\n");
            assertTrue(r.startsWith("HTTP/1.1 431"), r);
            assertTrue(r.contains("\"headers_too_large\""), r);
        }

        @Test
        void textThatIsNotHttpIsRejected() throws Exception {
            String r = raw("nonsense\r\n\r\n");
            assertTrue(r.isEmpty() || r.contains("400"), r);
        }

        @Test
        void slowBodyTimesOut() throws Exception {
            String r = raw(HEAD + "Content-Length: 100\r\n\r\n{");
            assertTrue(r.startsWith("HTTP/1.1 408"), r);
            assertTrue(r.contains("\"request_timeout\""), r);
        }

        @Test
        void connectionWithoutARequestIsClosed() throws Exception {
            assertEquals("", raw(HEAD));
        }
    }
}
