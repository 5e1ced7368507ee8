package org.godwithoist.core.http;

import io.vertx.core.http.HttpServerOptions;

/** Settings that all HTTP servers of the daemons and stand-ins share. */
public final class HttpServers {
    private HttpServers() {}

    /**
     * Returns the options of a server that speaks HTTP/1.1 only.
     *
     * <p>The library's upgrade of a clear-text connection to HTTP/2 sends the data of large answers
     * on stream 0; clients then fail with a protocol error or wait for the answer without end.
     * Clients that offer the upgrade, such as the one of the JDK, go on with HTTP/1.1.
     */
    public static HttpServerOptions http1Options() {
        return new HttpServerOptions().setHttp2ClearTextEnabled(false);
    }
}
