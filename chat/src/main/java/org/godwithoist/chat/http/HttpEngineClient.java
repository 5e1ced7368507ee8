package org.godwithoist.chat.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.AsyncResult;
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
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.godwithoist.accounting.Usage;
import org.godwithoist.chat.ChatRequest;
import org.godwithoist.chat.EngineClient;
import org.godwithoist.chat.EngineException;
import org.godwithoist.chat.EngineStream;
import org.godwithoist.core.http.ConnectionReuse;
import org.godwithoist.core.http.ResponseFraming;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.membership.Target;

/** Client of the engines' HTTP protocol. Each engine has a connection pool of its own. */
public final class HttpEngineClient implements EngineClient {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int SERVER_ERROR = 500;

    /** Status codes that report invalid content of the request. */
    private static final Set<Integer> INVALID_CONTENT_STATUS = Set.of(400, 413, 422);

    /**
     * Shorter than the stall timeout of 1 s, so that a connection that cannot be established is
     * reported as such, before the request counts as lost although nothing was sent.
     */
    private static final int CONNECT_TIMEOUT_MS = 900;

    private static final int CALL_TIMEOUT_MS = 2_000;
    private static final int MAX_CONNECTIONS = 256;

    /**
     * Pools younger than this are not discarded. Several requests detect the same unresponsive
     * connections at about the same time, and the first one has already replaced the pool. Shorter
     * than the stall timeout of 1 s, after which the new connections may be unresponsive too.
     */
    private static final long MIN_POOL_AGE_NANOS = Duration.ofMillis(900).toNanos();

    private static final long SHUTDOWN_GRACE_MINUTES = 10;

    private final Vertx vertx;
    private final ConnectionReuse reuse = new ConnectionReuse();
    private final Map<TargetId, ConnectionPool> pools = new ConcurrentHashMap<>();

    /**
     * The connections to one engine and the {@link System#nanoTime} at which the pool was created.
     */
    private record ConnectionPool(HttpClient client, long createdNanos) {}

    /** Creates a client on the given Vert.x instance, which it does not close. */
    public HttpEngineClient(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public CompletableFuture<EngineStream> open(
            Target engine, RequestId attempt, ChatRequest request, String alreadySent) {
        JsonObject body = new JsonObject(request.body()).put("stream", true);
        if (!alreadySent.isEmpty()) {
            body.put("continue_from", alreadySent);
        }
        var options =
                options(engine, HttpMethod.POST, "/v1/chat/completions")
                        .putHeader("Content-Type", "application/json")
                        .putHeader("X-Workspace", request.workspace().value())
                        .putHeader("X-Chat-Id", request.chat().value())
                        .putHeader("X-Priority", request.priority().wireName())
                        .putHeader(
                                "X-Deadline-Ms",
                                Long.toString(request.deadline().remaining().toMillis()));
        return stream(engine, attempt, options, body.toBuffer());
    }

    @Override
    public CompletableFuture<EngineStream> resume(
            Target engine, RequestId attempt, long afterOffset) {
        String path = path(attempt) + "/stream?from=" + afterOffset;
        return stream(engine, attempt, options(engine, HttpMethod.GET, path), Buffer.buffer());
    }

    @Override
    public Uni<Optional<Usage>> cancel(Target engine, RequestId attempt) {
        return execute(engine, HttpMethod.DELETE, path(attempt), Optional.empty())
                .map(
                        r ->
                                optionalBody(engine, r)
                                        .map(o -> o.getJsonObject("usage"))
                                        .map(ChatJson::usage));
    }

    @Override
    public Uni<Boolean> hasAttempt(Target engine, RequestId attempt) {
        return execute(engine, HttpMethod.GET, path(attempt), Optional.empty())
                .map(r -> optionalBody(engine, r).isPresent());
    }

    @Override
    public Uni<List<RequestId>> runningAttempts(Target engine) {
        return execute(engine, HttpMethod.GET, "/v1/load", Optional.empty())
                .map(r -> optionalBody(engine, r).map(ChatJson::runningRequests).orElse(List.of()));
    }

    @Override
    public Uni<CacheExport> exportCache(Target engine, ChatId chat) {
        JsonObject body = new JsonObject().put("chat", chat.value());
        return execute(engine, HttpMethod.POST, "/v1/kv/export", Optional.of(body))
                .map(r -> ChatJson.cacheExport(requiredBody(engine, r)));
    }

    @Override
    public Uni<Void> importCache(Target engine, CacheExport export) {
        JsonObject body = new JsonObject().put("object", export.object());
        return execute(engine, HttpMethod.POST, "/v1/kv/import", Optional.of(body))
                .invoke(r -> requireOk(engine, r))
                .replaceWithVoid();
    }

    @Override
    public Uni<List<CacheEvent>> cacheEvents(Target engine, long afterSequence) {
        String uri = "/v1/cache/events?after=" + afterSequence;
        return execute(engine, HttpMethod.GET, uri, Optional.empty())
                .map(r -> ChatJson.cacheEvents(requiredBody(engine, r)));
    }

    @Override
    public void discardConnections(Target engine) {
        ConnectionPool current = pools.get(engine.id());
        boolean recentlyCreated =
                current != null && System.nanoTime() - current.createdNanos() < MIN_POOL_AGE_NANOS;
        if (current != null && !recentlyCreated && pools.remove(engine.id(), current)) {
            // Requests that still make progress on the old connections may complete.
            current.client().shutdown(SHUTDOWN_GRACE_MINUTES, TimeUnit.MINUTES);
        }
    }

    /** Closes the connections to engines that the predicate does not accept. */
    public void retain(Predicate<TargetId> known) {
        for (TargetId id : List.copyOf(pools.keySet())) {
            if (!known.test(id)) {
                Optional.ofNullable(pools.remove(id)).ifPresent(p -> p.client().shutdown());
            }
        }
    }

    // ---- short calls

    private record Response(int status, Buffer body, boolean whole) {}

    private Uni<Response> execute(
            Target engine, HttpMethod method, String uri, Optional<JsonObject> body) {
        RequestId call = new RequestId(UUID.randomUUID().toString());
        var options =
                options(engine, method, uri)
                        .setTimeout(CALL_TIMEOUT_MS)
                        .putHeader(ConnectionReuse.REQUEST_ID, call.value());
        body.ifPresent(b -> options.putHeader("Content-Type", "application/json"));
        Buffer content = body.map(JsonObject::toBuffer).orElse(Buffer.buffer());
        return Uni.createFrom()
                .completionStage(
                        () ->
                                client(engine)
                                        .request(options)
                                        .compose(r -> send(r, content, x -> readBody(call, x)))
                                        .recover(e -> Future.failedFuture(unreachable(engine, e)))
                                        .toCompletionStage());
    }

    /**
     * Sends a request. The action is registered before the first write, because a response that
     * arrives whole at once ends before an action that is added later can read it.
     *
     * @param onResponse called on the event loop, before the body arrives
     */
    private static <T> Future<T> send(
            HttpClientRequest request,
            Buffer body,
            Function<HttpClientResponse, Future<T>> onResponse) {
        Future<T> result = request.response().compose(onResponse);
        request.send(body);
        return result;
    }

    private Future<Response> readBody(RequestId call, HttpClientResponse response) {
        if (!reuse.accept(response, call)) {
            return Future.failedFuture("the response does not name request " + call);
        }
        return response.body()
                .map(body -> new Response(response.statusCode(), body, isWhole(response, body)));
    }

    /**
     * Returns whether the body cannot have broken off unnoticed. JSON shows by itself whether it is
     * whole; an empty body does so only if its end is stated.
     */
    private static boolean isWhole(HttpClientResponse response, Buffer body) {
        return body.length() > 0 || ResponseFraming.statesEnd(response);
    }

    private static Optional<JsonObject> optionalBody(Target engine, Response response) {
        return response.status() == NOT_FOUND
                ? Optional.empty()
                : Optional.of(requiredBody(engine, response));
    }

    private static JsonObject requiredBody(Target engine, Response response) {
        requireOk(engine, response);
        if (!response.whole()) {
            throw new EngineException(
                    EngineException.Kind.CONNECTION_LOST,
                    engine.id() + " closed the connection before the body of its response");
        }
        return response.body().length() == 0 ? new JsonObject() : response.body().toJsonObject();
    }

    private static void requireOk(Target engine, Response response) {
        if (response.status() != OK) {
            throw new EngineException(
                    EngineException.Kind.REJECTED,
                    engine.id() + " responded with HTTP status " + response.status());
        }
    }

    // ---- streams

    private CompletableFuture<EngineStream> stream(
            Target engine, RequestId attempt, RequestOptions options, Buffer body) {
        options.putHeader(ConnectionReuse.REQUEST_ID, attempt.value());
        PendingStream pending = new PendingStream();
        client(engine)
                .request(options)
                .recover(e -> Future.failedFuture(unreachable(engine, e)))
                .compose(
                        r -> pending.send(r, body, x -> checkResponse(engine, attempt, options, x)))
                .recover(e -> Future.failedFuture(connectionLost(engine, e)))
                .onComplete(pending::opened);
        return pending;
    }

    /** A request whose response has not begun; can be cancelled at any time. */
    private static final class PendingStream extends CompletableFuture<EngineStream> {
        private HttpClientRequest request;

        @Override
        public boolean cancel(boolean mayInterrupt) {
            boolean cancelled = super.cancel(mayInterrupt);
            if (cancelled) {
                reset();
            }
            return cancelled;
        }

        synchronized Future<EngineStream> send(
                HttpClientRequest r,
                Buffer body,
                Function<HttpClientResponse, Future<EngineStream>> onResponse) {
            request = r;
            if (isCancelled()) {
                r.reset();
                return Future.failedFuture("the request was cancelled before it was sent");
            }
            return HttpEngineClient.send(r, body, onResponse);
        }

        private synchronized void reset() {
            if (request != null) {
                request.reset();
            }
        }

        void opened(AsyncResult<EngineStream> result) {
            if (result.failed()) {
                completeExceptionally(result.cause());
            } else if (!complete(result.result())) {
                result.result().close();
            }
        }
    }

    private Future<EngineStream> checkResponse(
            Target engine, RequestId attempt, RequestOptions options, HttpClientResponse response) {
        String echoed = response.getHeader(ConnectionReuse.REQUEST_ID);
        if (echoed != null && !echoed.equals(attempt.value())) {
            response.request().reset();
            return Future.failedFuture(
                    new EngineException(
                            EngineException.Kind.CONNECTION_LOST,
                            engine.id()
                                    + " responded with the X-Request-Id of another request, "
                                    + echoed));
        }
        if (!reuse.accept(response, attempt)) {
            return Future.failedFuture(
                    new EngineException(
                            EngineException.Kind.CONNECTION_LOST,
                            engine.id() + " responded without the X-Request-Id " + attempt));
        }
        if (response.statusCode() == OK) {
            return Future.succeededFuture(new HttpEngineStream(engine.id().value(), response));
        }
        boolean resumed = options.getMethod().equals(HttpMethod.GET);
        String message = engine.id() + " responded with HTTP status " + response.statusCode();
        return Future.failedFuture(
                new EngineException(failureKind(response.statusCode(), resumed), message));
    }

    private static EngineException.Kind failureKind(int status, boolean resumed) {
        if (resumed && status == NOT_FOUND) {
            return EngineException.Kind.UNKNOWN_REQUEST;
        }
        if (INVALID_CONTENT_STATUS.contains(status)) {
            return EngineException.Kind.INVALID;
        }
        boolean failed = status >= SERVER_ERROR && status != UNAVAILABLE;
        return failed ? EngineException.Kind.FAILED : EngineException.Kind.REJECTED;
    }

    private HttpClient client(Target engine) {
        return pools.computeIfAbsent(engine.id(), id -> newPool()).client();
    }

    private ConnectionPool newPool() {
        var options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS);
        var pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
        return new ConnectionPool(
                vertx.createHttpClient(options.setTcpNoDelay(true), pool), System.nanoTime());
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

    private static Throwable unreachable(Target engine, Throwable e) {
        String message = "cannot reach " + engine.id() + " at " + engine.endpoint();
        return new EngineException(EngineException.Kind.UNREACHABLE, message, e);
    }

    private static Throwable connectionLost(Target engine, Throwable e) {
        if (e instanceof EngineException) {
            return e;
        }
        String message = "connection to " + engine.id() + " was lost before it responded";
        return new EngineException(EngineException.Kind.CONNECTION_LOST, message, e);
    }
}
