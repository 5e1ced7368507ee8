package org.godwithoist.core.error;

import java.util.Locale;

/**
 * Stable codes of failed requests. Each code knows its HTTP status and whether a retry can help.
 */
public enum ErrorCode {
    /** The request is malformed. */
    BAD_REQUEST(400, false),
    /** The key is missing or wrong. */
    UNAUTHENTICATED(401, false),
    /** The caller may not do this. */
    FORBIDDEN(403, false),
    /** The model, service, path or request id is unknown. */
    NOT_FOUND(404, false),
    /** The request did not arrive in time. */
    REQUEST_TIMEOUT(408, true),
    /** The same key was used with another body, or another operator was first. */
    CONFLICT(409, false),
    /** The body is too long. */
    BODY_TOO_LARGE(413, false),
    /** The headers are too long. */
    HEADERS_TOO_LARGE(431, false),
    /** The workspace is over its limit. */
    OVER_LIMIT(429, true),
    /** No target has room before the deadline. */
    NO_CAPACITY(503, true),
    /** The daemon has no bundle yet or is draining. */
    NOT_READY(503, true),
    /** The platform's store does not answer. */
    STORE_UNAVAILABLE(503, true),
    /** A target failed and the request could not be completed elsewhere. */
    TARGET_FAILED(502, true),
    /** The deadline passed. */
    DEADLINE_EXCEEDED(504, true),
    /** A fault of the daemon itself. */
    INTERNAL(500, false);

    private final int httpStatus;
    private final boolean retryable;

    ErrorCode(int httpStatus, boolean retryable) {
        this.httpStatus = httpStatus;
        this.retryable = retryable;
    }

    /** Returns the status of an HTTP answer with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns whether the same request may succeed later, given that its run state permits a retry.
     */
    public boolean retryable() {
        return retryable;
    }

    /** Returns the code as callers see it. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
