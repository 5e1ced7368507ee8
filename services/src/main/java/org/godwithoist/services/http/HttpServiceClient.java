package org.godwithoist.services.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.http.ConnectionReuse;
import org.godwithoist.core.http.ResponseFraming;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.membership.Target;
import org.godwithoist.services.ByteStream;
import org.godwithoist.services.Header;
import org.godwithoist.services.ResponseHead;
import org.godwithoist.services.ServiceClient;
import org.godwithoist.services.ServiceException;
import org.godwithoist.services.ServiceException.Kind;
import org.godwithoist.services.ServiceRequest;
import org.godwithoist.services.ServiceResponse;

/**
 * HTTP client of plain services. Each target has a connection pool of its own for requests that may
 * be repeated. A request that may run only once has a connection of its own, so that no late copy
 * of another response can take the place of its response. Thread-safe.
 */
public final class HttpServiceClient implements ServiceClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Load report, which each target has; any status shows that the process runs. */
    private static final String LOAD_PATH = "/v1/load";

    private static final int MAX_CONNECTIONS_PER_TARGET = 256;

    /** Longer than any request, because the pool's requests that make progress may complete. */
    private static final long SHUTDOWN_GRACE_MINUTES = 10;

    private final Vertx vertx;
    private final ConnectionReuse reuse = new ConnectionReuse();
    private final Map<TargetId, HttpClientAgent> pools = new ConcurrentHashMap<>();

    /** Creates a client on the given Vert.x instance, which it does not close. */
    public HttpServiceClient(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public ServiceResponse send(
            Target target, RequestId attempt, ServiceRequest request, ByteStream body) {
        Deadline deadline = request.deadline();
        HttpClientAgent pool = pool(target.id());
        HttpClientRequest httpRequest = connect(pool, target, attempt, request);
        // Registered before the first write, because a response that arrives before its handler is
        // lost.
        Future<HttpServiceResponse> response =
                httpRequest.response().map(r -> accept(target.id(), attempt, request, r));
        // From here on the target may have received a part of the request.
        try {
            write(httpRequest, request, body, deadline);
            return Await.result(response, deadline.remaining());
        } catch (AwaitTimeoutException e) {
            close(httpRequest);
            discardConnections(target.id(), pool);
            throw new ServiceException(
                    Kind.TIMED_OUT, target.id() + " did not respond before the deadline", e);
        } catch (RequestException e) {
            close(httpRequest);
            throw e.withRunState(RunState.UNKNOWN);
        } catch (RuntimeException e) {
            close(httpRequest);
            throw lost(target.id(), e);
        }
    }

    /** Called on the event loop of the connection, before the body arrives. */
    private HttpServiceResponse accept(
            TargetId target, RequestId attempt, ServiceRequest request, HttpClientResponse r) {
        if (!request.isRepeatable()) {
            ConnectionReuse.closeAfter(r);
        } else if (!reuse.accept(r, attempt)) {
            throw new IllegalStateException("the response does not name request " + attempt);
        }
        return new HttpServiceResponse(target, attempt, r);
    }

    private HttpClientRequest connect(
            HttpClientAgent pool, Target target, RequestId attempt, ServiceRequest request) {
        RequestOptions options =
                new RequestOptions()
                        .setHost(target.endpoint().ip())
                        .setPort(target.endpoint().port())
                        .setMethod(HttpMethod.valueOf(request.method().value()))
                        .setURI(request.path());
        Future<HttpClientRequest> connecting =
                request.isRepeatable()
                        ? pool.request(options)
                        : newConnection(pool, target).compose(c -> c.request(options));
        HttpClientRequest httpRequest;
        try {
            httpRequest = Await.result(connecting, request.deadline().cap(CONNECT_TIMEOUT));
        } catch (RuntimeException e) {
            connecting.onSuccess(HttpServiceClient::close);
            throw new ServiceException(Kind.NOT_SENT, target.id() + " cannot be reached", e);
        }
        for (Header h : request.headers()) {
            httpRequest.headers().add(h.name(), h.value());
        }
        httpRequest
                .putHeader(ConnectionReuse.REQUEST_ID, attempt.value())
                .putHeader("X-Workspace", request.workspace().value())
                .putHeader("X-Priority", request.priority().wireName())
                .putHeader(
                        "X-Deadline-Ms", Long.toString(request.deadline().remaining().toMillis()));
        return httpRequest;
    }

    @Override
    public boolean isRunning(Target target, Duration timeout) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setURI(LOAD_PATH)
                        .setIdleTimeout(Math.max(1, timeout.toMillis()));
        Future<Boolean> responded =
                newConnection(pool(target.id()), target)
                        .compose(
                                c ->
                                        c.request(options)
                                                .compose(HttpClientRequest::send)
                                                .map(r -> true)
                                                .eventually(c::close));
        try {
            return Await.result(responded, timeout);
        } catch (RuntimeException e) {
            return false;
        }
    }

    private static Future<HttpClientConnection> newConnection(HttpClientAgent pool, Target target) {
        return pool.connect(
                new HttpConnectOptions()
                        .setHost(target.endpoint().ip())
                        .setPort(target.endpoint().port())
                        .setConnectTimeout(CONNECT_TIMEOUT.toMillis()));
    }

    /** Closes the connection of a request that failed; a new one would not be closed by a reset. */
    private static void close(HttpClientRequest httpRequest) {
        httpRequest.connection().close();
    }

    private static void write(
            HttpClientRequest httpRequest,
            ServiceRequest request,
            ByteStream body,
            Deadline deadline) {
        if (!request.hasBody()) {
            Await.result(httpRequest.end(), deadline.remaining());
            return;
        }
        if (!httpRequest.headers().contains("Content-Length")) {
            httpRequest.setChunked(true);
        }
        while (true) {
            Optional<byte[]> chunk = body.next(deadline.remaining());
            if (chunk.isEmpty()) {
                break;
            }
            // Waits until the chunk is written, so that a slow target slows the caller down.
            Await.result(httpRequest.write(Buffer.buffer(chunk.get())), deadline.remaining());
        }
        Await.result(httpRequest.end(), deadline.remaining());
    }

    private HttpClientAgent pool(TargetId target) {
        return pools.computeIfAbsent(
                target,
                t ->
                        vertx.createHttpClient(
                                new HttpClientOptions()
                                        .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()),
                                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_TARGET)));
    }

    /**
     * Closes the connections to a target that did not respond in time, because they may be broken.
     * New requests use new connections; requests that still make progress end on the old ones. Has
     * no effect if another request has already replaced the pool: the new one is not in doubt.
     */
    private void discardConnections(TargetId target, HttpClientAgent pool) {
        if (pools.remove(target, pool)) {
            pool.shutdown(SHUTDOWN_GRACE_MINUTES, TimeUnit.MINUTES);
        }
    }

    private static ServiceException lost(TargetId target, Throwable cause) {
        return new ServiceException(
                Kind.CONNECTION_LOST, "the connection to " + target + " was lost", cause);
    }

    /** A response whose body is read from the connection. */
    private static final class HttpServiceResponse implements ServiceResponse {
        private static final String REPEATED = "the target repeated its response inside the body";

        private final HttpClientResponse response;
        private final ByteStream body;
        private final ResponseHead head;
        private final boolean statesEnd;

        HttpServiceResponse(TargetId target, RequestId attempt, HttpClientResponse response) {
            this.response = response;
            response.pause();
            this.head =
                    new ResponseHead(
                            response.statusCode(),
                            HopByHopHeaders.strip(response.headers(), Set.of()));
            this.statesEnd = ResponseFraming.statesEnd(response);
            ByteStream received =
                    new VertxByteStream(
                            response,
                            Long.MAX_VALUE,
                            IllegalStateException::new,
                            e -> lost(target, e));
            this.body =
                    new RepeatedHeadFilter(
                            received,
                            statesEnd,
                            attempt,
                            fields(response),
                            () -> lost(target, new IllegalStateException(REPEATED)));
        }

        private static List<Header> fields(HttpClientResponse response) {
            return response.headers().entries().stream()
                    .map(e -> new Header(e.getKey(), e.getValue()))
                    .toList();
        }

        @Override
        public ResponseHead head() {
            return head;
        }

        @Override
        public ByteStream body() {
            return body;
        }

        @Override
        public boolean statesEnd() {
            return statesEnd;
        }

        @Override
        public void close() {
            // Has no effect if the response was read to its end.
            response.request().reset();
        }
    }
}
