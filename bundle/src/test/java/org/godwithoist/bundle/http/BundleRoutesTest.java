package org.godwithoist.bundle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.godwithoist.bundle.ContentHash;
import org.godwithoist.bundle.Fixture;
import org.godwithoist.bundle.HeadState;
import org.godwithoist.bundle.SignatureRole;
import org.godwithoist.bundle.store.BundleWorkflow;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.task.Await;
import org.godwithoist.store.fake.FakeObjectStore;
import org.godwithoist.store.fake.FakeTableStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BundleRoutesTest {
    private final Fixture fixture = new Fixture();
    private final FakeTableStore table = new FakeTableStore();
    private final BundleWorkflow workflow =
            new BundleWorkflow(
                    fixture, new HeadState(fixture.keys()), table, new FakeObjectStore());
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private int port;

    @BeforeEach
    void listen() {
        Router router = Router.router(vertx);
        new BundleRoutes(workflow.operations, new OperatorAuth(fixture.operators())).mount(router);
        HttpServer server = vertx.createHttpServer().requestHandler(router);
        port = Await.result(server.listen(0, "127.0.0.1"), Duration.ofSeconds(5)).actualPort();
    }

    @AfterEach
    void stop() {
        client.close();
        Await.result(vertx.close(), Duration.ofSeconds(5));
    }

    private HttpResponse<String> send(String path, String authorization, JsonObject body)
            throws IOException, InterruptedException {
        var request =
                HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + port + "/v1/bundles/" + path));
        if (authorization != null) {
            request.header("Authorization", authorization);
        }
        if (body != null) {
            request.POST(HttpRequest.BodyPublishers.ofString(body.encode()));
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private JsonObject sendExpectingOk(String path, OperatorName by, JsonObject body)
            throws Exception {
        var r = send(path, "Bearer " + Fixture.token(by), body);
        assertEquals(200, r.statusCode(), r.body());
        return new JsonObject(r.body());
    }

    private JsonObject submission(String text) {
        ContentHash m = BundleWorkflow.manifest(text);
        String s = fixture.sign(Fixture.ANNA, SignatureRole.AUTHOR, 1, m, Fixture.ANNA).base64();
        return new JsonObject()
                .put("file", "b.json")
                .put("text", text)
                .put("revision", 1)
                .put("signature", s);
    }

    @Nested
    class Credentials {
        /**
         * Guards against requests without a valid token that have an effect, and against tokens in
         * responses.
         */
        @ParameterizedTest
        @ValueSource(
                strings = {"", "Bearer ", "Bearer wrong", "Basic token-of-anna", "token-of-anna"})
        void missingOrWrongHaveNoEffect(String authorization) throws Exception {
            JsonObject body = submission(Fixture.text(2, 1));
            for (String path : List.of("submit", "review", "sign", "roll", "validate")) {
                var r = send(path, authorization.isEmpty() ? null : authorization, body);
                assertEquals(401, r.statusCode());
                assertFalse(r.body().contains("token-of"));
            }
            for (String path : List.of("status", "history", "diff?to=1")) {
                assertEquals(401, send(path, null, null).statusCode());
            }
            assertEquals(0, table.writes());
        }
    }

    @Nested
    class BundleLifecycle {
        /** Guards against a route that drops a parameter or the operator of a request. */
        @Test
        void passesAllStages() throws Exception {
            String text = Fixture.text(2, 1);
            JsonObject draft = sendExpectingOk("validate", Fixture.ANNA, submission(text));
            assertEquals(BundleWorkflow.manifest(text).hex(), draft.getString("manifest"));
            JsonObject p = sendExpectingOk("submit", Fixture.ANNA, submission(text));
            JsonObject id = new JsonObject().put("proposal", p.getString("proposal"));
            assertEquals(
                    1,
                    sendExpectingOk("status", Fixture.BEN, null).getJsonArray("proposals").size());
            sendExpectingOk("review", Fixture.BEN, id);
            String s =
                    fixture.sign(
                                    Fixture.BEN,
                                    SignatureRole.SIGNER,
                                    1,
                                    BundleWorkflow.manifest(text),
                                    Fixture.ANNA)
                            .base64();
            sendExpectingOk("sign", Fixture.BEN, id.copy().put("signature", s));
            assertEquals(1, sendExpectingOk("roll", Fixture.BEN, id).getInteger("revision"));
            var again = send("roll", "Bearer " + Fixture.token(Fixture.ANNA), id);
            assertEquals(409, again.statusCode());
            JsonObject rolled =
                    sendExpectingOk("history", Fixture.BEN, null)
                            .getJsonArray("revisions")
                            .getJsonObject(0);
            assertEquals(
                    "ben", rolled.getJsonArray("events").getJsonObject(3).getString("operator"));
        }

        /** Guards against findings that are reported one at a time or without a location. */
        @Test
        void returnsAllFindings() throws Exception {
            JsonObject bad =
                    new JsonObject()
                            .put("file", "b.json")
                            .put(
                                    "text",
                                    "{\"format\": 1,\n \"pools\": [{\"id\": \"a b\", \"x\": 1}]}");
            var r = send("validate", "Bearer " + Fixture.token(Fixture.ANNA), bad);
            assertEquals(400, r.statusCode());
            var findings = new JsonObject(r.body()).getJsonArray("findings");
            assertEquals(5, findings.size(), r.body());
            JsonObject first = findings.getJsonObject(0);
            assertEquals("b.json", first.getString("file"));
            assertEquals(2, first.getInteger("line"));
            assertTrue(first.getInteger("column") > 1);
            assertEquals("/pools/0/id", first.getString("path"));
        }

        /**
         * Guards against malformed requests and unknown proposals that are reported as internal
         * errors.
         */
        @Test
        void rejectsMalformedRequests() throws Exception {
            String token = "Bearer " + Fixture.token(Fixture.ANNA);
            assertEquals(400, send("roll", token, new JsonObject()).statusCode());
            assertEquals(400, send("history?limit=x", token, null).statusCode());
            var unknown = new JsonObject().put("proposal", "0000000001-0123456789ab");
            assertEquals(404, send("roll", token, unknown).statusCode());
        }
    }
}
