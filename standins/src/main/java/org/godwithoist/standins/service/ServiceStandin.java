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
        router.route().handler(BodyHandler.create(false));
        router.post("/faults").handler(this::setFault);
        router.get("/log").handler(c -> c.json(new JsonObject().put("log", log)));
        router.get("/v1/load")
                .handler(c -> c.json(new JsonObject().put("running", inProgress).put("age_ms", 0)));
        router.route().handler(this::handle);
        return vertx.createHttpServer(HttpServers.http1Options())
                .requestHandler(router)
                .listen(endpoint.port(), endpoint.ip());
    }

    private void setFault(RoutingContext c) {
        JsonObject body = c.body().asJsonObject();
        fault = ServiceFault.fromWireName(body.getString("fault", "none"));
        remainingFaults = body.getInteger("calls", Integer.MAX_VALUE);
        delayMillis = body.getLong("delay_ms", 0L);
        c.json(new JsonObject());
    }

    private void handle(RoutingContext c) {
        ServiceFault f = nextFault();
        inProgress++;
        if (delayMillis == 0) {
            respond(c, f);
            return;
        }
        vertx.setTimer(delayMillis, t -> respond(c, f));
    }

    private ServiceFault nextFault() {
        if (remainingFaults == 0) {
            return ServiceFault.NONE;
        }
        remainingFaults--;
        return fault;
    }

    private void respond(RoutingContext c, ServiceFault f) {
        inProgress--;
        if (f.runs()) {
            execute(c);
        }
        if (f == ServiceFault.REFUSE) {
            c.response().setStatusCode(UNAVAILABLE).end();
            return;
        }
        if (!f.responds()) {
            if (f != ServiceFault.HANG_AFTER) {
                c.request().connection().close();
            }
            return;
        }
        c.response().putHeader("X-Service", id);
        c.json(
                new JsonObject()
                        .put("service", id)
                        .put("execution", executions)
                        .put("method", c.request().method().name())
                        .put("path", c.request().path())
                        .put("body", c.body().asString()));
    }

    private void execute(RoutingContext c) {
        executions++;
        log.add(
                new JsonObject()
                        .put("at", System.currentTimeMillis())
                        .put("execution", executions)
                        .put("request", c.request().getHeader("X-Request-Id"))
                        .put("workspace", c.request().getHeader("X-Workspace"))
                        .put("key", c.request().getHeader("Idempotency-Key"))
                        .put("method", c.request().method().name())
                        .put("path", c.request().path())
                        .put("body", c.body().asString()));
    }
}
