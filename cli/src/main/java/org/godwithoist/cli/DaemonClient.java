package org.godwithoist.cli;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;

/**
 * HTTP client for the operators' port of daemons; tries the next daemon if one refuses the
 * connection. A request that may have been received is not sent to another daemon.
 */
final class DaemonClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    /** A roll waits for four store writes and for the peers, which takes up to about 12 s. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    private final Vertx vertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    private final WebClient client =
            WebClient.create(
                    vertx,
                    new WebClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
    private final List<Endpoint> daemons;
    private final String token;

    DaemonClient(List<Endpoint> daemons, String token) {
        this.daemons = daemons;
        this.token = token;
    }

    DaemonResponse get(String path) {
        return send(HttpMethod.GET, path, null, "application/json");
    }

    DaemonResponse getHtml(String path) {
        return send(HttpMethod.GET, path, null, "text/html");
    }

    DaemonResponse post(String path, JsonObject body) {
        return send(HttpMethod.POST, path, body.toBuffer(), "application/json");
    }

    private DaemonResponse send(HttpMethod method, String path, Buffer body, String accept) {
        for (Endpoint daemon : daemons) {
            var request =
                    client.request(method, daemon.port(), daemon.ip(), path)
                            .timeout(RESPONSE_TIMEOUT.toMillis())
                            .putHeader("Accept", accept)
                            .bearerTokenAuthentication(token);
            try {
                HttpResponse<Buffer> response =
                        Await.result(
                                body == null ? request.send() : request.sendBuffer(body),
                                RESPONSE_TIMEOUT.plus(CONNECT_TIMEOUT));
                String text = response.bodyAsString();
                return new DaemonResponse(response.statusCode(), text == null ? "" : text);
            } catch (RuntimeException e) {
                if (isConnectionRefused(e)) {
                    continue;
                }
                // The daemon may have received the request; only a GET is certain to have changed
                // nothing.
                ExitCode code =
                        method.equals(HttpMethod.GET) ? ExitCode.UNAVAILABLE : ExitCode.UNKNOWN;
                throw new CliException(code, "no response from daemon " + daemon, e);
            }
        }
        throw new CliException(
                ExitCode.UNAVAILABLE, "every daemon refused the connection: " + daemons);
    }

    private static boolean isConnectionRefused(Throwable e) {
        return e instanceof ConnectException || e.getCause() instanceof ConnectException;
    }

    @Override
    public void close() {
        client.close();
        Await.result(vertx.close(), RESPONSE_TIMEOUT);
    }
}
