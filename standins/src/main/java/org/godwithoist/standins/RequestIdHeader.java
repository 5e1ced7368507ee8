package org.godwithoist.standins;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;
import org.godwithoist.core.http.ConnectionReuse;

/** Names the request in the head of its response, so that its connection may be used again. */
public final class RequestIdHeader {
    private RequestIdHeader() {}

    /** Returns a handler that must precede the handlers which respond. */
    public static Handler<RoutingContext> handler() {
        return context -> {
            String id = context.request().getHeader(ConnectionReuse.REQUEST_ID);
            if (id != null) {
                context.response().putHeader(ConnectionReuse.REQUEST_ID, id);
            }
            context.next();
        };
    }
}
