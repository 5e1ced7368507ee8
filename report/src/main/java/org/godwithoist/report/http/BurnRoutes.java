package org.godwithoist.report.http;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Function;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.report.BurnReport;
import org.godwithoist.report.BurnReporter;

/** HTTP routes of the burn report for operators. */
public final class BurnRoutes {
    private final BurnReporter reporter;

    /** Creates the routes; {@link #mount} adds them to a router. */
    public BurnRoutes(BurnReporter reporter) {
        this.reporter = reporter;
    }

    /** Adds the routes to a router; authentication is added by the caller. */
    public void mount(Router router) {
        router.get("/v1/report/burn")
                .handler(
                        c -> handle(c, "application/json", r -> BurnReportJson.format(r).encode()));
        router.get("/v1/report/burn.html")
                .handler(c -> handle(c, "text/html; charset=utf-8", BurnHtml::format));
    }

    private void handle(RoutingContext c, String type, Function<BurnReport, String> format) {
        Tasks.start("burn-report", () -> respond(c, type, format));
    }

    private void respond(RoutingContext c, String type, Function<BurnReport, String> format) {
        try {
            String text = format.apply(reporter.report());
            c.response().putHeader("Content-Type", type).end(text);
        } catch (RuntimeException e) {
            JsonObject error =
                    new JsonObject()
                            .put("code", ErrorCode.STORE_UNAVAILABLE.wireName())
                            .put(
                                    "message",
                                    "burn counts cannot be read from the store: " + e.getMessage());
            c.response()
                    .setStatusCode(ErrorCode.STORE_UNAVAILABLE.httpStatus())
                    .putHeader("Content-Type", "application/json")
                    .end(new JsonObject().put("error", error).encode());
        }
    }
}
