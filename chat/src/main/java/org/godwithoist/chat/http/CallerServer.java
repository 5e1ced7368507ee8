package org.godwithoist.chat.http;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.http.HttpServers;

/**
 * Creates the HTTP server for callers. It limits request heads and connections and closes idle
 * ones, so that callers that send nothing, or one byte at a time, do not hold memory.
 */
public final class CallerServer {
    /** Maximum length of a request head, in bytes. */
    public static final int MAX_HEADER_BYTES = 16 << 10;

    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_CONNECTIONS = 20_000;
    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(1);

    private final Vertx vertx;
    private final Duration receiveTimeout;
    private final Duration idleTimeout;
    private final Map<HttpConnection, Activity> connections = new ConcurrentHashMap<>();

    /** Last request of a connection. Used only on the event loop of the connection. */
    private static final class Activity {
        private long idleSinceNanos = System.nanoTime();
        private HttpServerResponse response;
    }

    /** Uses the default timeouts: 10 s to receive a request head, 60 s between requests. */
    public CallerServer(Vertx vertx) {
        this(vertx, Duration.ofSeconds(10), Duration.ofSeconds(60));
    }

    CallerServer(Vertx vertx, Duration receiveTimeout, Duration idleTimeout) {
        this.vertx = vertx;
        this.receiveTimeout = receiveTimeout;
        this.idleTimeout = idleTimeout;
    }

    /** Creates a server that passes requests to the handler; it does not listen yet. */
    public HttpServer create(Handler<HttpServerRequest> handler) {
        var options =
                HttpServers.http1Options()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setHandle100ContinueAutomatically(true)
                        .setTcpNoDelay(true);
        return vertx.createHttpServer(options)
                .connectionHandler(this::trackConnection)
                .invalidRequestHandler(CallerServer::rejectInvalid)
                .requestHandler(
                        request -> {
                            trackRequest(request);
                            handler.handle(request);
                        });
    }

    private void trackConnection(HttpConnection connection) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connection.close();
            return;
        }
        Activity activity = new Activity();
        connections.put(connection, activity);
        long timer =
                vertx.setPeriodic(
                        IDLE_CHECK_INTERVAL.toMillis(),
                        t -> {
                            if (isIdleTooLong(activity)) {
                                connection.close();
                            }
                        });
        connection.closeHandler(
                v -> {
                    vertx.cancelTimer(timer);
                    connections.remove(connection);
                });
    }

    private boolean isIdleTooLong(Activity activity) {
        boolean hadRequest = activity.response != null;
        if (hadRequest && !activity.response.ended()) {
            activity.idleSinceNanos = System.nanoTime();
            return false;
        }
        Duration limit = hadRequest ? idleTimeout : receiveTimeout;
        return System.nanoTime() - activity.idleSinceNanos > limit.toNanos();
    }

    private void trackRequest(HttpServerRequest request) {
        Activity activity = connections.get(request.connection());
        if (activity != null) {
            activity.response = request.response();
            activity.idleSinceNanos = System.nanoTime();
        }
    }

    private static void rejectInvalid(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        boolean tooLong =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        RequestException e =
                tooLong
                        ? RequestException.notRun(
                                ErrorCode.HEADERS_TOO_LARGE,
                                "the request head exceeds " + MAX_HEADER_BYTES + " bytes")
                        : RequestException.notRun(
                                ErrorCode.BAD_REQUEST, "the request is not valid HTTP");
        request.response().putHeader("Connection", "close");
        ErrorBody.send(request.response(), UUID.randomUUID().toString(), e);
        request.response().endHandler(v -> request.connection().close());
    }
}
