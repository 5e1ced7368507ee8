package org.godwithoist.loadtool.load;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.Map;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;

/**
 * HTTP client for short requests to daemons and stand-ins. Each request blocks the calling virtual
 * thread for at most 20 s.
 */
public final class BlockingHttpClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final WebClient client;

    /** Creates a client; it is closed together with the Vert.x instance. */
    public BlockingHttpClient(Vertx vertx) {
        client = WebClient.create(vertx);
    }

    /** Sends a GET request and parses the response as a JSON object. */
    public JsonObject getJson(Endpoint to, String path, Map<String, String> headers) {
        return send(HttpMethod.GET, to, path, headers, Buffer.buffer()).bodyAsJsonObject();
    }

    /** Sends a request and returns the fully buffered response, whatever its status. */
    public HttpResponse<Buffer> send(
            HttpMethod method, Endpoint to, String path, Map<String, String> headers, Buffer body) {
        HttpRequest<Buffer> request = client.request(method, to.port(), to.ip(), path);
        headers.forEach(request::putHeader);
        return Await.result(request.timeout(TIMEOUT.toMillis()).sendBuffer(body), TIMEOUT);
    }
}
