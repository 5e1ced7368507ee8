package org.godwithoist.catalog;

import java.time.Duration;

/**
 * Limits of requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of request line and headers, in bytes
 * @param maxBodyBytes maximum size of a body, in bytes
 * @param headerTimeout maximum time from the first byte of a request to the end of its headers
 * @param idleTimeout time after which a connection without requests is closed
 */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits used until the first catalog is received. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
