package org.godwithoist.core.http;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.Set;

/** How the head of a response states where its body ends. */
public final class ResponseFraming {
    /** Status codes of responses that have no body: no content, not modified. */
    private static final Set<Integer> NO_BODY_STATUS = Set.of(204, 304);

    private ResponseFraming() {}

    /**
     * Returns whether the head states where the body ends, by a length, by chunks or because there
     * is none. Otherwise the body ends with the connection, and one that broke off looks whole.
     */
    public static boolean statesEnd(HttpClientResponse response) {
        return response.request().getMethod().equals(HttpMethod.HEAD)
                || NO_BODY_STATUS.contains(response.statusCode())
                || response.headers().contains("Content-Length")
                || response.headers().contains("Transfer-Encoding");
    }
}
