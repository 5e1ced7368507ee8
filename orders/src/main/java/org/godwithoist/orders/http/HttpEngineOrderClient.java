package org.godwithoist.orders.http;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import org.godwithoist.membership.Target;
import org.godwithoist.orders.EngineOrder;
import org.godwithoist.orders.EngineOrderClient;

/** Sends orders over the engines' HTTP protocol. */
public final class HttpEngineOrderClient implements EngineOrderClient {
    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final WebClient client;
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param timeout time limit for the response to one order
     */
    public HttpEngineOrderClient(Vertx vertx, Duration timeout) {
        this.client = WebClient.create(vertx);
        this.timeout = timeout;
    }

    @Override
    public Uni<Result> send(Target engine, EngineOrder order, long fencing) {
        JsonObject body =
                new JsonObject()
                        .put("kind", order.kind().wireName())
                        .put("name", order.name())
                        .put("version", order.version())
                        .put("fencing", fencing);
        var sent =
                client.post(engine.endpoint().port(), engine.endpoint().ip(), "/v1/orders")
                        .timeout(timeout.toMillis())
                        .sendBuffer(body.toBuffer());
        return Uni.createFrom()
                .completionStage(sent.toCompletionStage())
                .map(r -> result(engine, r));
    }

    private static Result result(Target engine, HttpResponse<Buffer> response) {
        return switch (response.statusCode()) {
            case OK -> Result.DONE;
            case CONFLICT -> Result.FENCED;
            default ->
                    throw new IllegalStateException(
                            engine.id()
                                    + " must respond to an order with status 200 or 409, not "
                                    + response.statusCode());
        };
    }
}
