package org.godwithoist.services.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Workspace;
import org.godwithoist.core.Priority;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.id.IdempotencyKey;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.services.Header;
import org.godwithoist.services.MethodName;
import org.godwithoist.services.ResponseHead;
import org.godwithoist.services.ResponseSink;
import org.godwithoist.services.ServiceProxy;
import org.godwithoist.services.ServiceRequest;

/** The HTTP API for requests to plain services: {@code /services/<service>/<path>}. */
public final class ServiceRoutes {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String PREFIX = "/services/";
    private static final String BEARER = "Bearer ";
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);

    /**
     * Headers for the daemon that are not forwarded. A service that received the workspace's API
     * key could act as the workspace.
     */
    private static final Set<String> DAEMON_HEADERS =
            Set.of(
                    "authorization",
                    "expect",
                    "host",
                    "x-request-id",
                    "x-workspace",
                    "x-priority",
                    "x-deadline-ms");

    private final Supplier<Optional<Bundle>> bundle;
    private final ServiceProxy proxy;

    /**
     * Creates the routes; {@link #mount} adds them to a router.
     *
     * @param bundle bundle in force; empty while the daemon has none
     */
    public ServiceRoutes(Supplier<Optional<Bundle>> bundle, ServiceProxy proxy) {
        this.bundle = bundle;
        this.proxy = proxy;
    }

    /** Adds the routes to a router; no earlier handler may read the body. */
    public void mount(Router router) {
        router.route("/services/*").handler(this::handle);
    }

    private void handle(RoutingContext c) {
        HttpServerRequest request = c.request();
        request.pause();
        VertxByteStream body =
                new VertxByteStream(
                        request,
                        ServiceProxy.MAX_BODY_BYTES,
                        m -> RequestException.notRun(ErrorCode.BODY_TOO_LARGE, m),
                        e ->
                                RequestException.notRun(
                                                ErrorCode.BAD_REQUEST,
                                                "the connection ended before the end of the body")
                                        .withCause(e));
        Tasks.start("caller-" + request.remoteAddress(), () -> serve(c, body));
    }

    private void serve(RoutingContext c, VertxByteStream body) {
        String givenId = c.request().getHeader("X-Request-Id");
        String generatedId = UUID.randomUUID().toString();
        RequestId id = new RequestId(generatedId);
        HttpResponseSink sink = new HttpResponseSink(c, id);
        try {
            id = givenId == null ? id : new RequestId(givenId);
            sink = new HttpResponseSink(c, id);
            proxy.serve(toServiceRequest(c.request(), id), body, sink);
        } catch (RequestException e) {
            sink.fail(e);
        } catch (IllegalArgumentException e) {
            sink.fail(RequestException.notRun(ErrorCode.BAD_REQUEST, e.getMessage()));
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("internal error while serving request %s", id);
            sink.fail(
                    RequestException.unknown(ErrorCode.INTERNAL, "internal error of the daemon")
                            .withCause(e));
        }
    }

    // ---- requests

    private ServiceRequest toServiceRequest(HttpServerRequest request, RequestId id) {
        Bundle b =
                bundle.get()
                        .orElseThrow(
                                () ->
                                        RequestException.notRun(
                                                ErrorCode.NOT_READY,
                                                "this daemon has no bundle yet"));
        Workspace workspace = authenticate(request, b);
        Priority requested =
                Optional.ofNullable(request.getHeader("X-Priority"))
                        .flatMap(Priority::fromWireName)
                        .orElse(Priority.INTERACTIVE);
        Priority priority =
                requested.precedes(workspace.maxPriority()) ? workspace.maxPriority() : requested;
        String remainder = request.uri().substring(PREFIX.length());
        int end = remainder.indexOf('/');
        String service = end < 0 ? remainder : remainder.substring(0, end);
        if (service.isEmpty() || service.indexOf('?') >= 0) {
            throw RequestException.notRun(
                    ErrorCode.NOT_FOUND, "the path must be /services/<service>/<path>");
        }
        return new ServiceRequest(
                id,
                workspace.id(),
                priority,
                new PoolId(service),
                new MethodName(request.method().name()),
                end < 0 ? "/" : remainder.substring(end),
                HopByHopHeaders.strip(request.headers(), DAEMON_HEADERS),
                hasBody(request),
                Optional.ofNullable(request.getHeader("Idempotency-Key")).map(IdempotencyKey::new),
                deadline(request, b.serviceLevels().get(priority).deadline()));
    }

    private static boolean hasBody(HttpServerRequest request) {
        String length = request.getHeader("Content-Length");
        return (length != null && !length.equals("0"))
                || request.headers().contains("Transfer-Encoding");
    }

    private static Deadline deadline(HttpServerRequest request, Duration max) {
        String requested = request.getHeader("X-Deadline-Ms");
        if (requested == null) {
            return Deadline.after(max, Ticker.SYSTEM);
        }
        try {
            Duration time = Duration.ofMillis(Long.parseLong(requested));
            return Deadline.after(Durations.min(time, max), Ticker.SYSTEM);
        } catch (NumberFormatException e) {
            throw RequestException.notRun(
                            ErrorCode.BAD_REQUEST,
                            "X-Deadline-Ms must be a whole number of milliseconds")
                    .withCause(e);
        }
    }

    private static Workspace authenticate(HttpServerRequest request, Bundle b) {
        String header = request.getHeader("Authorization");
        if (header == null || !header.startsWith(BEARER)) {
            throw RequestException.notRun(
                    ErrorCode.UNAUTHENTICATED, "the Authorization header has no bearer key");
        }
        return b.workspaceByKeyHash(sha256(header.substring(BEARER.length())))
                .orElseThrow(
                        () ->
                                RequestException.notRun(
                                        ErrorCode.UNAUTHENTICATED, "the key is not known"));
    }

    private static String sha256(String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    // ---- responses

    /** Sends a response over the caller's connection. */
    private static final class HttpResponseSink implements ResponseSink {
        private static final int RESET = 0;
        private static final int ORDERLY = -1;

        private final HttpServerRequest request;
        private final HttpServerResponse response;
        private final RequestId id;

        /** Whether the end of the connection is the end of the body. */
        private boolean endsWithConnection;

        HttpResponseSink(RoutingContext c, RequestId id) {
            this.request = c.request();
            this.response = c.response();
            this.id = id;
        }

        @Override
        public void head(ResponseHead head, RunState runState) {
            response.setStatusCode(head.status());
            for (Header h : head.headers()) {
                response.headers().add(h.name(), h.value());
            }
            putStatusHeaders(runState);
            boolean hasNoBody = head.status() == NO_CONTENT || head.status() == NOT_MODIFIED;
            if (hasNoBody
                    || request.method().equals(HttpMethod.HEAD)
                    || response.headers().contains("Content-Length")) {
                return;
            }
            response.setChunked(true);
            // Chunks came with HTTP/1.1.
            endsWithConnection = request.version() == HttpVersion.HTTP_1_0;
        }

        @Override
        public boolean body(byte[] chunk) {
            if (response.closed()) {
                return false;
            }
            if (endsWithConnection && !response.headWritten()) {
                beginUntilClose();
            }
            try {
                Await.result(response.write(Buffer.buffer(chunk)), WRITE_TIMEOUT);
                return true;
            } catch (RuntimeException e) {
                // A caller that reads nothing until the write timeout counts as disconnected.
                response.reset();
                return false;
            }
        }

        /** Begins a body whose end only the close tells, so that any other close must differ. */
        private void beginUntilClose() {
            closeWith(RESET);
            // The server takes a body only with a length or in chunks, and keeps its connection.
            response.headersEndHandler(
                    v -> {
                        response.headers().remove("Transfer-Encoding");
                        response.putHeader("Connection", "close");
                    });
        }

        private void closeWith(int lingerSeconds) {
            HttpServerConnection connection = (HttpServerConnection) request.connection();
            try {
                connection
                        .channelHandlerContext()
                        .channel()
                        .config()
                        .setOption(ChannelOption.SO_LINGER, lingerSeconds);
            } catch (ChannelException e) {
                LOG.atFine().withCause(e).log("caller of request %s has disconnected", id);
            }
        }

        @Override
        public void end() {
            if (!endsWithConnection) {
                response.end();
                return;
            }
            // All parts of the body have been written.
            closeWith(ORDERLY);
            response.end().onComplete(r -> request.connection().close());
        }

        /** Ends the body with the connection, as the target did. */
        @Override
        public void unstated(ResponseHead head, RunState runState, byte[] body) {
            head(head, runState);
            endsWithConnection = true;
            if (body(body)) {
                end();
            }
        }

        /** Breaks off what was sent in chunks, which cannot end without a statement. */
        @Override
        public void endUnstated() {
            if (endsWithConnection) {
                end();
            } else {
                response.reset();
            }
        }

        void fail(RequestException e) {
            if (response.headWritten()) {
                // The reset shows the caller that the response is incomplete.
                response.reset();
                return;
            }
            response.headers().clear();
            JsonObject error =
                    new JsonObject()
                            .put("code", e.code().wireName())
                            .put("message", e.getMessage())
                            .put("request_id", id.value())
                            .put("run_state", e.runState().wireName());
            e.retryAfter()
                    .ifPresent(
                            t -> response.putHeader("Retry-After", Long.toString(t.toSeconds())));
            if (!request.isEnded()) {
                // The rest of the body is not read, so the connection cannot be reused.
                response.putHeader("Connection", "close");
            }
            putStatusHeaders(e.runState());
            response.setChunked(false)
                    .setStatusCode(e.code().httpStatus())
                    .putHeader("Content-Type", "application/json")
                    .end(new JsonObject().put("error", error).encode());
        }

        private void putStatusHeaders(RunState runState) {
            response.putHeader("X-Request-Id", id.value());
            response.putHeader("X-Run-State", runState.wireName());
        }
    }
}
