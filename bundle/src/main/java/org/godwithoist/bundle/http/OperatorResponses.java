package org.godwithoist.bundle.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.json.Finding;
import org.godwithoist.core.json.FindingsException;

/** Sends JSON responses to operators. */
final class OperatorResponses {
    private static final int OK = 200;

    private OperatorResponses() {}

    static void send(RoutingContext c, JsonObject body) {
        sendJson(c, OK, body);
    }

    static void sendError(RoutingContext c, RequestException e) {
        sendJson(c, e.code().httpStatus(), new JsonObject().put("error", errorBody(e)));
    }

    /** Sends status 400 with all findings and their locations. */
    static void sendError(RoutingContext c, FindingsException e) {
        JsonArray list = new JsonArray();
        for (Finding f : e.findings()) {
            list.add(
                    new JsonObject()
                            .put("file", f.location().file())
                            .put("line", f.location().line())
                            .put("column", f.location().column())
                            .put("path", f.location().path())
                            .put("message", f.message()));
        }
        RequestException summary =
                RequestException.notRun(
                        ErrorCode.BAD_REQUEST, "the bundle has " + list.size() + " findings");
        sendJson(
                c,
                ErrorCode.BAD_REQUEST.httpStatus(),
                new JsonObject().put("error", errorBody(summary)).put("findings", list));
    }

    private static JsonObject errorBody(RequestException e) {
        return new JsonObject()
                .put("code", e.code().wireName())
                .put("message", e.getMessage())
                .put("run_state", e.runState().wireName());
    }

    private static void sendJson(RoutingContext c, int status, JsonObject body) {
        HttpServerResponse response = c.response();
        if (!response.ended() && !response.closed()) {
            response.setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(body.toBuffer());
        }
    }
}
