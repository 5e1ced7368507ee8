package org.godwithoist.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClient;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.Row;
import org.godwithoist.store.StoreUnavailableException;
import org.godwithoist.store.Table;
import org.godwithoist.store.Write;
import org.godwithoist.store.http.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests the store client against the platform stand-in. Guards against a client that reports a lost
 * response as a failed or successful write.
 */
class PlatformStandinTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration CLIENT_TIMEOUT = Duration.ofMillis(500);

    private Vertx vertx;
    private Endpoint endpoint;
    private StoreClient client;

    @BeforeEach
    void start() {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        var server =
                Await.result(
                        new PlatformStandin(vertx).listen(new Endpoint("127.0.0.1", 0)), TIMEOUT);
        endpoint = new Endpoint("127.0.0.1", server.actualPort());
        client = new StoreClient(vertx, endpoint, CLIENT_TIMEOUT);
    }

    @AfterEach
    void stop() {
        Await.result(vertx.close(), TIMEOUT);
    }

    private void setFault(String name, Object value) {
        Buffer body = new JsonObject().put(name, value).toBuffer();
        Await.result(
                WebClient.create(vertx)
                        .post(endpoint.port(), endpoint.ip(), "/faults")
                        .sendBuffer(body),
                TIMEOUT);
    }

    private List<Long> commit(Write... writes) {
        return Await.result(client.commit(List.of(writes)), TIMEOUT);
    }

    private Optional<Row> read(String key) {
        return Await.result(client.read(Table.CLAIM, key), TIMEOUT);
    }

    /** The HTTP client of the JDK offers to upgrade its connections to HTTP/2. */
    @Nested
    class WhenAClientOffersHttp2 {
        private static final int CLIENTS = 20;
        private static final int OBJECT_BYTES = 64 * 1024;

        /**
         * Guards against responses above 16 KiB that never end: on a connection upgraded to HTTP/2
         * the first one could stall, and a fault test then waited for a log until CI ended it.
         */
        @Test
        void largeResponsesAreComplete() throws IOException, InterruptedException {
            byte[] object = new byte[OBJECT_BYTES];
            // The first request of a process takes longer than the short timeout allows.
            StoreClient patientClient = new StoreClient(vertx, endpoint, TIMEOUT);
            Await.result(patientClient.put("large", object), TIMEOUT);
            URI uri = URI.create("http://" + endpoint + "/objects/large");
            for (int i = 0; i < CLIENTS; i++) {
                HttpResponse<byte[]> response =
                        HttpClient.newHttpClient()
                                .send(
                                        HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(),
                                        HttpResponse.BodyHandlers.ofByteArray());
                assertEquals(OBJECT_BYTES, response.body().length);
            }
        }
    }

    @Nested
    class WhenTheStoreResponds {
        /** Guards against a commit that writes only the rows whose conditions are met. */
        @Test
        void writesAllRowsOrNone() {
            long version = commit(Write.insert(Table.CLAIM, "a/1", "x")).get(0);
            assertThrows(
                    ConditionFailedException.class,
                    () ->
                            commit(
                                    Write.replace(Table.CLAIM, "a/1", version, "y"),
                                    Write.replace(Table.CLAIM, "a/2", 7, "z")));
            assertEquals("x", read("a/1").orElseThrow().value());
        }

        /** Guards against rows that a scan leaves out, adds or returns in another order. */
        @Test
        void scansByPrefixInKeyOrder() {
            commit(
                    Write.put(Table.CLAIM, "b 2", "2"),
                    Write.put(Table.CLAIM, "b 1", "1"),
                    Write.put(Table.CLAIM, "c", "3"));
            List<Row> rows = Await.result(client.scan(Table.CLAIM, "b "), TIMEOUT);
            assertEquals(List.of("1", "2"), rows.stream().map(Row::value).toList());
        }

        /** Guards against altered objects, and against content for a key without an object. */
        @Test
        void keepsObjects() {
            Await.result(client.put("k", "content".getBytes(StandardCharsets.UTF_8)), TIMEOUT);
            byte[] read = Await.result(client.get("k"), TIMEOUT).orElseThrow();
            assertEquals("content", new String(read, StandardCharsets.UTF_8));
            assertTrue(Await.result(client.get("other"), TIMEOUT).isEmpty());
        }
    }

    @Nested
    class WhenAResponseIsLost {
        /** Guards against a definite result for a write whose response was lost. */
        @Test
        void reportsAnUnknownOutcomeOfAWriteThatTookEffect() {
            setFault("lose_commit_answers", 1);
            assertThrows(
                    OutcomeUnknownException.class,
                    () -> commit(Write.insert(Table.CLAIM, "k", "v")));
            assertEquals("v", read("k").orElseThrow().value());
        }

        /** Guards against a definite result for a write whose request was lost. */
        @Test
        void reportsAnUnknownOutcomeOfAWriteThatTookNoEffect() {
            setFault("lose_commit_requests", 1);
            assertThrows(
                    OutcomeUnknownException.class,
                    () -> commit(Write.insert(Table.CLAIM, "k", "v")));
            assertTrue(read("k").isEmpty());
        }
    }

    @Nested
    class WhenTheStoreIsDown {
        /** Guards against reporting a rejected write as a write of unknown outcome. */
        @Test
        void reportsRejectedReadsAndWritesAsUnavailable() {
            setFault("down", true);
            assertThrows(StoreUnavailableException.class, () -> read("k"));
            assertThrows(
                    StoreUnavailableException.class,
                    () -> commit(Write.insert(Table.CLAIM, "k", "v")));
        }

        /** Guards against waiting indefinitely, and against reporting the write as rejected. */
        @Test
        void givesUpOnAnUnresponsiveStore() {
            setFault("silent", true);
            assertThrows(StoreUnavailableException.class, () -> read("k"));
            assertThrows(
                    OutcomeUnknownException.class,
                    () -> commit(Write.insert(Table.CLAIM, "k", "v")));
        }
    }

    @Nested
    class WhenTheHostListLags {
        /** Guards against a stand-in whose lag fault has no effect. */
        @Test
        void returnsAnOutdatedList() {
            setFault("host_lag_ms", 60_000);
            JsonObject host =
                    new JsonObject()
                            .put("host", "h1")
                            .put("kind", "daemon")
                            .put("failure_domain", "d1")
                            .put("address", "127.0.0.1:1")
                            .put("state", "leaving");
            Buffer body = new JsonObject().put("hosts", new JsonArray().add(host)).toBuffer();
            Await.result(
                    WebClient.create(vertx)
                            .put(endpoint.port(), endpoint.ip(), "/hosts")
                            .sendBuffer(body),
                    TIMEOUT);
            assertTrue(Await.result(client.list(), TIMEOUT).isEmpty());
            setFault("host_lag_ms", 0);
            assertEquals(1, Await.result(client.list(), TIMEOUT).size());
        }
    }
}
