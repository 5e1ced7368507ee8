package org.godwithoist.daemon.http;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.godwithoist.daemon.Lifecycle;

/** HTTP routes for liveness, readiness and metrics. */
public final class HealthRoutes {
    private static final int UNAVAILABLE = 503;

    private final Lifecycle lifecycle;
    private final PrometheusRegistry registry;
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.builder().build();

    /** Creates the routes; {@link #mount} adds them to a router. */
    public HealthRoutes(Lifecycle lifecycle, PrometheusRegistry registry) {
        this.lifecycle = lifecycle;
        this.registry = registry;
    }

    /** Adds the routes to a router. */
    public void mount(Router router) {
        router.get("/healthz").handler(c -> c.json(new JsonObject().put("status", "ok")));
        router.get("/readyz").handler(this::readiness);
        router.get("/metrics").handler(this::metrics);
    }

    private void readiness(RoutingContext c) {
        if (!lifecycle.stage().acceptsRequests()) {
            c.response().setStatusCode(UNAVAILABLE);
        }
        c.json(new JsonObject().put("stage", lifecycle.stage().name()));
    }

    private void metrics(RoutingContext c) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            writer.write(text, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode the metrics in memory", e);
        }
        c.response()
                .putHeader("Content-Type", writer.getContentType())
                .end(Buffer.buffer(text.toByteArray()));
    }
}
