package org.godwithoist.core.http;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import java.util.Collections;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.id.RequestId;

/**
 * Decides which pooled connections to targets may carry another request. In HTTP/1.1 only the order
 * tells which request a response belongs to, so a target that responds twice to one request shifts
 * all later responses of the connection. A connection is therefore used again only after a response
 * that names its request in {@value #REQUEST_ID}, and each later response on it must name its own
 * request. Thread-safe.
 */
public final class ConnectionReuse {
    /** Header with the id of the request, in requests and in responses of targets that name it. */
    public static final String REQUEST_ID = "X-Request-Id";

    /** Longer than any request, so that the response in progress may complete. */
    private static final long SHUTDOWN_GRACE_HOURS = 24;

    /** Connections that have carried a response; weak, so that closed ones need no removal. */
    private final Set<HttpConnection> used =
            Collections.newSetFromMap(Collections.synchronizedMap(new WeakHashMap<>()));

    /**
     * Returns whether a response belongs to the request with the given id. If not, the connection
     * is closed. Must be called when the head of the response has arrived, before its body is read,
     * because it also decides whether the connection returns to its pool after the body.
     */
    public boolean accept(HttpClientResponse response, RequestId id) {
        HttpConnection connection = response.request().connection();
        boolean named = id.value().equals(response.getHeader(REQUEST_ID));
        if (!named && used.contains(connection)) {
            connection.close();
            return false;
        }
        if (named) {
            used.add(connection);
        } else {
            closeAfter(response);
        }
        return true;
    }

    /** Closes the connection of a response after its end. */
    public static void closeAfter(HttpClientResponse response) {
        response.request().connection().shutdown(SHUTDOWN_GRACE_HOURS, TimeUnit.HOURS);
    }
}
