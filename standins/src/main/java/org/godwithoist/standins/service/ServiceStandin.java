package org.godwithoist.standins.service;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.godwithoist.core.http.HttpServers;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.standins.RequestIdHeader;

/**
 * Stand-in for a plain service. It does not deduplicate: it executes every request, including
 * retries, and logs each execution. The process must have a single event loop.
 */
public final class ServiceStandin {
    private static final int UNAVAILABLE = 503;

    private final Vertx vertx;
    private final String id;
    private final JsonArray log = new JsonArray();
    private ServiceFault fault = ServiceFault.NONE;
    private int remainingFaults;
    private long delayMillis;
    private int executions;
    private int inProgress;

    /** Creates a service without faults; the id is returned in the X-Service header. */
    public ServiceStandin(Vertx vertx, String id) {
        this.vertx = vertx;
        this.id = id;
    }

    /** Starts the server; the future fails if the port cannot be bound. */
    public Future<HttpServer> listen(Endpoint endpoint) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false)).handler(RequestIdHeader.handler());
        router.post("/faults").handler(this::setFault);
        router.get("/log").handler(context -> context.json(new JsonObject().put("log", log)));
        router.get("/v1/load")
                .handler(
                        context ->
                                context.json(
                                        new JsonObject()
                                                .put("running", inProgress)
                                                .put("age_ms", 0)));
        router.route().handler(this::handle);
        return vertx.createHttpServer(HttpServers.http1Options())
                .requestHandler(router)
                .listen(endpoint.port(), endpoint.ip());
    }

    private void setFault(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        fault = ServiceFault.fromWireName(body.getString("fault", "none"));
        remainingFaults = body.getInteger("calls", Integer.MAX_VALUE);
        delayMillis = body.getLong("delay_ms", 0L);
        context.json(new JsonObject());
    }

    private void handle(RoutingContext context) {
        ServiceFault requestFault = nextFault();
        inProgress++;
        if (delayMillis == 0) {
            respond(context, requestFault);
            return;
        }
        vertx.setTimer(delayMillis, t -> respond(context, requestFault));
    }

    private ServiceFault nextFault() {
        if (remainingFaults == 0) {
            return ServiceFault.NONE;
        }
        remainingFaults--;
        return fault;
    }

    private void respond(RoutingContext context, ServiceFault requestFault) {
        inProgress--;
        if (requestFault.runs()) {
            execute(context);
        }
        if (requestFault == ServiceFault.REFUSE) {
            context.response().setStatusCode(UNAVAILABLE).end();
            return;
        }
        if (!requestFault.responds()) {
            if (requestFault != ServiceFault.HANG_AFTER) {
                context.request().connection().close();
            }
            return;
        }
        context.response().putHeader("X-Service", id);
        context.json(
                new JsonObject()
                        .put("service", id)
                        .put("execution", executions)
                        .put("method", context.request().method().name())
                        .put("path", context.request().path())
                        .put("body", context.body().asString()));
    }

    private void execute(RoutingContext context) {
        executions++;
        log.add(
                new JsonObject()
                        .put("at", System.currentTimeMillis())
                        .put("execution", executions)
                        .put("request", context.request().getHeader("X-Request-Id"))
                        .put("workspace", context.request().getHeader("X-Workspace"))
                        .put("key", context.request().getHeader("Idempotency-Key"))
                        .put("method", context.request().method().name())
                        .put("path", context.request().path())
                        .put("body", context.body().asString()));
    }
}
