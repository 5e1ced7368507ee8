package org.godwithoist.store.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.net.ConnectException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.HostList;
import org.godwithoist.store.ObjectStore;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.Row;
import org.godwithoist.store.StoreUnavailableException;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.WeightStore;
import org.godwithoist.store.Write;

/** HTTP client of the platform's tables, objects, host list and weights. Thread-safe. */
public final class StoreClient implements TableStore, ObjectStore, HostList, WeightStore {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;

    private final WebClient client;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param timeout time limit of one operation and of connecting
     */
    public StoreClient(Vertx vertx, Endpoint endpoint, Duration timeout) {
        var options =
                new WebClientOptions()
                        .setDefaultHost(endpoint.ip())
                        .setDefaultPort(endpoint.port())
                        .setConnectTimeout((int) timeout.toMillis());
        this.client = WebClient.create(vertx, options);
        this.timeout = timeout;
    }

    // ---- tables

    @Override
    public CompletableFuture<Optional<Row>> read(Table table, String key) {
        String path = rowsPath(table) + "/" + encode(key);
        return send("read failed, no response from the store: " + path, client.get(path), null)
                .thenApply(
                        response -> {
                            if (response.statusCode() == NOT_FOUND) {
                                return Optional.empty();
                            }
                            return Optional.of(
                                    parseRow(
                                            expectOk("read " + path, response).bodyAsJsonObject()));
                        });
    }

    @Override
    public CompletableFuture<List<Row>> scan(Table table, String prefix) {
        String path = rowsPath(table);
        return send(
                        "scan failed, no response from the store: " + path,
                        client.get(path).addQueryParam("prefix", prefix),
                        null)
                .thenApply(
                        response -> {
                            List<Row> rows = new ArrayList<>();
                            JsonObject body = expectOk("scan " + path, response).bodyAsJsonObject();
                            for (Object o : body.getJsonArray("rows")) {
                                rows.add(parseRow((JsonObject) o));
                            }
                            return rows;
                        });
    }

    @Override
    public CompletableFuture<List<Long>> commit(List<Write> writes) {
        JsonArray array = new JsonArray();
        for (Write w : writes) {
            array.add(
                    new JsonObject()
                            .put("table", w.table().wireName())
                            .put("key", w.key())
                            .put("expected", w.expected())
                            .put("value", w.value().orElse(null)));
        }
        Buffer body = new JsonObject().put("writes", array).toBuffer();
        return toFuture(withTimeout(client.post("/commit")).sendBuffer(body))
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                throw toWriteException(failure);
                            }
                            return parseVersions(response);
                        });
    }

    private static List<Long> parseVersions(HttpResponse<Buffer> response) {
        if (response.statusCode() == CONFLICT) {
            throw new ConditionFailedException(
                    "commit: a row does not have the expected version: " + response.bodyAsString());
        }
        List<Long> versions = new ArrayList<>();
        for (Object o : expectOk("commit", response).bodyAsJsonObject().getJsonArray("versions")) {
            versions.add(((Number) o).longValue());
        }
        return versions;
    }

    private static RuntimeException toWriteException(Throwable failure) {
        // Only a refused connection guarantees that nothing was written.
        if (failure instanceof ConnectException) {
            return new StoreUnavailableException(
                    "commit: the store refused the connection", failure);
        }
        return new OutcomeUnknownException("commit: no response from the store", failure);
    }

    // ---- objects

    @Override
    public CompletableFuture<Void> put(String key, byte[] content) {
        String path = "/objects/" + encode(key);
        return send(
                        "put failed, no response from the store: " + path,
                        client.put(path),
                        Buffer.buffer(content))
                .thenAccept(response -> expectOk("put " + path, response));
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String key) {
        String path = "/objects/" + encode(key);
        return send("get failed, no response from the store: " + path, client.get(path), null)
                .thenApply(
                        response -> {
                            if (response.statusCode() == NOT_FOUND) {
                                return Optional.empty();
                            }
                            requireStatedEnd(path, expectOk("get " + path, response));
                            return Optional.of(response.bodyAsBuffer().getBytes());
                        });
    }

    /** JSON shows by itself whether it is whole, but the content of an object does not. */
    private static void requireStatedEnd(String path, HttpResponse<Buffer> response) {
        boolean stated =
                response.headers().contains("Content-Length")
                        || response.headers().contains("Transfer-Encoding");
        if (!stated) {
            throw new StoreUnavailableException(
                    "get " + path + ": the response does not state where its content ends");
        }
    }

    // ---- hosts and weights

    @Override
    public CompletableFuture<List<HostEntry>> list() {
        return send("list hosts failed, no response from the store", client.get("/hosts"), null)
                .thenApply(
                        response -> {
                            List<HostEntry> hosts = new ArrayList<>();
                            JsonObject body = expectOk("list hosts", response).bodyAsJsonObject();
                            for (Object o : body.getJsonArray("hosts")) {
                                hosts.add(parseHostEntry((JsonObject) o));
                            }
                            return hosts;
                        });
    }

    @Override
    public CompletableFuture<Boolean> acquire(ModelId model) {
        String path = "/weights/" + encode(model.value()) + "/acquire";
        return send("acquire failed, no response from the store: " + path, client.post(path), null)
                .thenApply(
                        response ->
                                response.statusCode() != TOO_MANY_REQUESTS
                                        && expectOk("acquire " + path, response) != null);
    }

    private static HostEntry parseHostEntry(JsonObject o) {
        return new HostEntry(
                new HostId(o.getString("host")),
                HostEntry.Kind.valueOf(o.getString("kind").toUpperCase(Locale.ROOT)),
                Optional.ofNullable(o.getString("target")).map(TargetId::new),
                Optional.ofNullable(o.getString("pool")).map(PoolId::new),
                new FailureDomainId(o.getString("failure_domain")),
                Endpoint.parse(o.getString("address")),
                HostEntry.State.valueOf(o.getString("state").toUpperCase(Locale.ROOT)));
    }

    // ---- requests

    private CompletableFuture<HttpResponse<Buffer>> send(
            String failureMessage, HttpRequest<Buffer> request, Buffer body) {
        HttpRequest<Buffer> timed = withTimeout(request);
        Future<HttpResponse<Buffer>> sent = body == null ? timed.send() : timed.sendBuffer(body);
        return toFuture(sent)
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                throw new StoreUnavailableException(failureMessage, failure);
                            }
                            return response;
                        });
    }

    private HttpRequest<Buffer> withTimeout(HttpRequest<Buffer> request) {
        return request.timeout(timeout.toMillis());
    }

    private static <T> CompletableFuture<T> toFuture(Future<T> future) {
        return future.toCompletionStage().toCompletableFuture();
    }

    private static HttpResponse<Buffer> expectOk(String operation, HttpResponse<Buffer> response) {
        if (response.statusCode() != OK) {
            throw new StoreUnavailableException(
                    operation + ": expected status 200, but was " + response.statusCode());
        }
        return response;
    }

    private static String rowsPath(Table table) {
        return "/tables/" + table.wireName() + "/rows";
    }

    private static Row parseRow(JsonObject o) {
        return new Row(o.getString("key"), o.getLong("version"), o.getString("value"));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
