package org.godwithoist.daemon.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import org.godwithoist.admission.TargetLoadReport;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.daemon.TargetLoadClient;
import org.godwithoist.membership.Target;

/** Reads load reports over the targets' HTTP protocol. */
public final class HttpTargetLoadClient implements TargetLoadClient {
    private static final int OK = 200;

    /** Incarnation of targets that report none; their restarts are not detected. */
    private static final String DEFAULT_INCARNATION = "1";

    private final WebClient client;
    private final Duration timeout;
    private final Ticker ticker;

    /**
     * Creates a client.
     *
     * @param timeout time limit for the response to one read
     */
    public HttpTargetLoadClient(Vertx vertx, Duration timeout, Ticker ticker) {
        this.client = WebClient.create(vertx);
        this.timeout = timeout;
        this.ticker = ticker;
    }

    @Override
    public Uni<TargetLoadReport> read(Target target) {
        var sent =
                client.get(target.endpoint().port(), target.endpoint().ip(), "/v1/load")
                        .timeout(timeout.toMillis())
                        .send();
        return Uni.createFrom()
                .completionStage(sent.toCompletionStage())
                .map(r -> decodeLoad(target, r));
    }

    private TargetLoadReport decodeLoad(Target target, HttpResponse<Buffer> response) {
        if (response.statusCode() != OK) {
            throw new IllegalStateException(
                    target.id()
                            + " responded to GET /v1/load without HTTP status 200: "
                            + response.statusCode());
        }
        JsonObject body = response.bodyAsJsonObject();
        long age = Duration.ofMillis(body.getLong("age_ms", 0L)).toNanos();
        Object incarnation = body.getValue("incarnation");
        return new TargetLoadReport(
                incarnation == null ? DEFAULT_INCARNATION : incarnation.toString(),
                body.getInteger("running", 0),
                body.getInteger("queued", 0),
                body.getBoolean("model_loaded", true),
                ticker.nanos() - age);
    }
}
