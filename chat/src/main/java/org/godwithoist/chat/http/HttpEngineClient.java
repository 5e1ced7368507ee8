package org.godwithoist.chat.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.accounting.Usage;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.chat.EngineClient;
import org.godwithoist.chat.EngineException;
import org.godwithoist.chat.EngineStream;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.membership.Target;

/** Speaks the engines' HTTP protocol. Each engine has a pool of connections of its own. */
public final class HttpEngineClient implements EngineClient {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_CONNECTIONS = 256;

    private final Vertx vertx;
    private final Map<TargetId, HttpClient> clients = new ConcurrentHashMap<>();

    /** Makes a client on the given Vert.x instance. */
    public HttpEngineClient(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public Uni<EngineStream> open(
            Target engine, RequestId attempt, ChatRequest request, String alreadySent) {
        JsonObject body = new JsonObject(request.body()).put("stream", true);
        if (!alreadySent.isEmpty()) {
            body.put("continue_from", alreadySent);
        }
        var options =
                options(engine, HttpMethod.POST, "/v1/chat/completions")
                        .putHeader("Content-Type", "application/json")
                        .putHeader("X-Request-Id", attempt.value())
                        .putHeader("X-Workspace", request.workspace().value())
                        .putHeader("X-Chat-Id", request.chat().value())
                        .putHeader("X-Priority", request.priority().wireName())
                        .putHeader(
                                "X-Deadline-Ms",
                                Long.toString(request.deadline().left().toMillis()));
        return stream(engine, options, body.toBuffer());
    }

    @Override
    public Uni<EngineStream> resume(Target engine, RequestId attempt, long afterOffset) {
        String path = path(attempt) + "/stream?from=" + afterOffset;
        return stream(engine, options(engine, HttpMethod.GET, path), Buffer.buffer());
    }

    @Override
    public Uni<Optional<Usage>> cancel(Target engine, RequestId attempt) {
        var options = options(engine, HttpMethod.DELETE, path(attempt));
        return uni(
                client(engine)
                        .request(options)
                        .compose(HttpClientRequest::send)
                        .compose(r -> r.body().map(b -> cancelled(r, b)))
                        .recover(e -> Future.failedFuture(unreachable(engine, e))));
    }

    @Override
    public void distrustConnections(Target engine) {
        HttpClient old = clients.remove(engine.id());
        if (old != null) {
            // Requests that still make progress on the old connections end before it closes.
            old.shutdown();
        }
    }

    private static Optional<Usage> cancelled(HttpClientResponse r, Buffer body) {
        if (r.statusCode() != OK) {
            return Optional.empty();
        }
        JsonObject usage = body.toJsonObject().getJsonObject("usage");
        return Optional.ofNullable(usage).map(ChatJson::usage);
    }

    private Uni<EngineStream> stream(Target engine, RequestOptions options, Buffer body) {
        return uni(
                client(engine)
                        .request(options)
                        .recover(e -> Future.failedFuture(unreachable(engine, e)))
                        .compose(request -> send(engine, request, body)));
    }

    private Future<EngineStream> send(Target engine, HttpClientRequest request, Buffer body) {
        return request.send(body)
                .recover(e -> Future.failedFuture(lost(engine, e)))
                .compose(response -> checked(engine, response));
    }

    private Future<EngineStream> checked(Target engine, HttpClientResponse response) {
        if (response.statusCode() == OK) {
            return Future.succeededFuture(new HttpEngineStream(engine.id().value(), response));
        }
        var kind =
                response.statusCode() == NOT_FOUND
                        ? EngineException.Kind.UNKNOWN_REQUEST
                        : EngineException.Kind.REFUSED;
        String message = engine.id() + " answered with status " + response.statusCode();
        return Future.failedFuture(new EngineException(kind, message));
    }

    private HttpClient client(Target engine) {
        return clients.computeIfAbsent(
                engine.id(),
                id ->
                        vertx.createHttpClient(
                                new HttpClientOptions()
                                        .setConnectTimeout(CONNECT_TIMEOUT_MS)
                                        .setTcpNoDelay(true),
                                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)));
    }

    private static RequestOptions options(Target engine, HttpMethod method, String uri) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(engine.endpoint().ip())
                .setPort(engine.endpoint().port())
                .setURI(uri);
    }

    private static String path(RequestId attempt) {
        return "/v1/requests/" + attempt.value();
    }

    private static <T> Uni<T> uni(Future<T> future) {
        return Uni.createFrom().completionStage(future.toCompletionStage());
    }

    private static EngineException unreachable(Target engine, Throwable e) {
        String message = "no connection to " + engine.id() + " at " + engine.endpoint();
        return new EngineException(EngineException.Kind.UNREACHABLE, message, e);
    }

    private static EngineException lost(Target engine, Throwable e) {
        String message = "connection to " + engine.id() + " was lost before its answer";
        return new EngineException(EngineException.Kind.LOST, message, e);
    }
}
