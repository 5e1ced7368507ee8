package org.godwithoist.daemon.http;

import io.vertx.core.Handler;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RunState;
import org.godwithoist.daemon.Lifecycle;

/** Tracks requests in progress, and rejects new requests unless the daemon is serving. */
public final class AdmitHandler implements Handler<RoutingContext> {
    private final Lifecycle lifecycle;

    /** Creates a handler that records requests in the given lifecycle. */
    public AdmitHandler(Lifecycle lifecycle) {
        this.lifecycle = lifecycle;
    }

    @Override
    public void handle(RoutingContext c) {
        if (lifecycle.beginRequest()) {
            c.addEndHandler(v -> lifecycle.endRequest());
            c.next();
            return;
        }
        JsonObject error =
                new JsonObject()
                        .put("code", ErrorCode.NOT_READY.wireName())
                        .put("message", "this daemon is " + lifecycle.stage() + "; use another one")
                        .put("run_state", RunState.NOT_RUN.wireName());
        c.response()
                .setStatusCode(ErrorCode.NOT_READY.httpStatus())
                .putHeader("Connection", "close")
                .putHeader("Retry-After", "1")
                .putHeader("X-Run-State", RunState.NOT_RUN.wireName())
                .putHeader("Content-Type", "application/json")
                .end(new JsonObject().put("error", error).encode());
    }
}
