package org.godwithoist.core.http;

import io.vertx.core.http.HttpServerOptions;

/** Options shared by all HTTP servers of the daemons and stand-ins. */
public final class HttpServers {
    private HttpServers() {}

    /**
     * Returns options of a server that supports HTTP/1.1 only.
     *
     * <p>After an upgrade of a clear-text connection to HTTP/2 (h2c), Vert.x sends the data of
     * large responses on stream 0; clients then fail with a protocol error or wait forever. Clients
     * that offer the upgrade, such as the JDK's, fall back to HTTP/1.1.
     */
    public static HttpServerOptions http1Options() {
        return new HttpServerOptions().setHttp2ClearTextEnabled(false);
    }
}
