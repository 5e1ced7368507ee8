package org.godwithoist.services.http;

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
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.membership.Target;
import org.godwithoist.services.AnswerHead;
import org.godwithoist.services.ByteStream;
import org.godwithoist.services.Header;
import org.godwithoist.services.ServiceAnswer;
import org.godwithoist.services.ServiceCall;
import org.godwithoist.services.ServiceClient;
import org.godwithoist.services.ServiceException;
import org.godwithoist.services.ServiceException.Kind;

/** HTTP client of plain services. Each target has a connection pool of its own. Thread-safe. */
public final class HttpServiceClient implements ServiceClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_CONNECTIONS = 256;

    private final Vertx vertx;
    private final Map<TargetId, HttpClient> clients = new ConcurrentHashMap<>();

    /** Creates a client on the given Vert.x instance, which it does not close. */
    public HttpServiceClient(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public ServiceAnswer send(Target target, RequestId attempt, ServiceCall call, ByteStream body) {
        Deadline deadline = call.deadline();
        HttpClientRequest request = connect(target, attempt, call);
        // Registered before the first write, because a response that arrives before its handler is
        // lost.
        Future<Answer> answer = request.response().map(r -> new Answer(target.id(), r));
        // From here on the target may have received a part of the request.
        try {
            write(request, call, body, deadline);
            return Await.result(answer, deadline.remaining());
        } catch (AwaitTimeoutException e) {
            request.reset();
            distrustConnections(target.id());
            throw new ServiceException(
                    Kind.SILENT, target.id() + " did not answer before the deadline", e);
        } catch (RequestException e) {
            request.reset();
            throw e.withRunState(RunState.UNKNOWN);
        } catch (RuntimeException e) {
            request.reset();
            throw lost(target.id(), e);
        }
    }

    private HttpClientRequest connect(Target target, RequestId attempt, ServiceCall call) {
        RequestOptions options =
                new RequestOptions()
                        .setHost(target.endpoint().ip())
                        .setPort(target.endpoint().port())
                        .setMethod(HttpMethod.valueOf(call.method().value()))
                        .setURI(call.path());
        Future<HttpClientRequest> connecting = client(target.id()).request(options);
        HttpClientRequest request;
        try {
            request = Await.result(connecting, call.deadline().cap(CONNECT_TIMEOUT));
        } catch (RuntimeException e) {
            connecting.onSuccess(HttpClientRequest::reset);
            throw new ServiceException(Kind.NOT_SENT, target.id() + " cannot be reached", e);
        }
        for (Header h : call.headers()) {
            request.headers().add(h.name(), h.value());
        }
        request.putHeader("X-Request-Id", attempt.value())
                .putHeader("X-Workspace", call.workspace().value())
                .putHeader("X-Priority", call.priority().wireName())
                .putHeader("X-Deadline-Ms", Long.toString(call.deadline().remaining().toMillis()));
        return request;
    }

    private static void write(
            HttpClientRequest request, ServiceCall call, ByteStream body, Deadline deadline) {
        if (!call.hasBody()) {
            Await.result(request.end(), deadline.remaining());
            return;
        }
        if (!request.headers().contains("Content-Length")) {
            request.setChunked(true);
        }
        while (true) {
            Optional<byte[]> piece = body.next(deadline.remaining());
            if (piece.isEmpty()) {
                break;
            }
            // Waits until the chunk is written, so that a slow target slows the caller down.
            Await.result(request.write(Buffer.buffer(piece.get())), deadline.remaining());
        }
        Await.result(request.end(), deadline.remaining());
    }

    private HttpClient client(TargetId target) {
        return clients.computeIfAbsent(
                target,
                t ->
                        vertx.createHttpClient(
                                new HttpClientOptions()
                                        .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()),
                                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)));
    }

    /** New requests use new connections; requests that still make progress end on the old ones. */
    private void distrustConnections(TargetId target) {
        HttpClient old = clients.remove(target);
        if (old != null) {
            old.shutdown();
        }
    }

    private static ServiceException lost(TargetId target, Throwable cause) {
        return new ServiceException(Kind.LOST, "the connection to " + target + " was lost", cause);
    }

    /** A response whose body is read from the connection. */
    private static final class Answer implements ServiceAnswer {
        private final HttpClientResponse response;
        private final ByteStream body;
        private final AnswerHead head;

        Answer(TargetId target, HttpClientResponse response) {
            this.response = response;
            response.pause();
            this.head =
                    new AnswerHead(
                            response.statusCode(), HopByHop.strip(response.headers(), Set.of()));
            this.body =
                    new VertxByteStream(
                            response,
                            Long.MAX_VALUE,
                            IllegalStateException::new,
                            e -> lost(target, e));
        }

        @Override
        public AnswerHead head() {
            return head;
        }

        @Override
        public ByteStream body() {
            return body;
        }

        @Override
        public void close() {
            // Has no effect if the response was read to its end.
            response.request().reset();
        }
    }
}
