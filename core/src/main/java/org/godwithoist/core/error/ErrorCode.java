package org.godwithoist.core.error;

import java.util.Locale;

/**
 * Stable error codes of failed requests, with their HTTP status and whether a retry can succeed.
 */
public enum ErrorCode {
    /** The request is malformed. */
    BAD_REQUEST(400, false),
    /** The API key is missing or invalid. */
    UNAUTHENTICATED(401, false),
    /** The caller has no permission for the operation. */
    FORBIDDEN(403, false),
    /** The model, service, path or request id is unknown. */
    NOT_FOUND(404, false),
    /** The request was not received completely in time. */
    REQUEST_TIMEOUT(408, true),
    /**
     * The idempotency key was already used with another body, or another operator was first to make
     * a conflicting change.
     */
    CONFLICT(409, false),
    /** The body exceeds its size limit. */
    BODY_TOO_LARGE(413, false),
    /** The headers exceed their size limit. */
    HEADERS_TOO_LARGE(431, false),
    /** The workspace has exceeded its limit. */
    OVER_LIMIT(429, true),
    /** The daemon has no memory for the request. */
    NO_MEMORY(503, true),
    /** No target has free capacity before the deadline. */
    NO_CAPACITY(503, true),
    /** The daemon has no bundle yet or is draining. */
    NOT_READY(503, true),
    /** The platform's store is unavailable. */
    STORE_UNAVAILABLE(503, true),
    /** A target failed and no other target could complete the request. */
    TARGET_FAILED(502, true),
    /** The deadline expired before the request was completed. */
    DEADLINE_EXCEEDED(504, true),
    /** Internal error of the daemon. */
    INTERNAL(500, false);

    private final int httpStatus;
    private final boolean retryable;

    ErrorCode(int httpStatus, boolean retryable) {
        this.httpStatus = httpStatus;
        this.retryable = retryable;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether a retry may succeed; the {@link RunState} decides whether one is allowed. */
    public boolean retryable() {
        return retryable;
    }

    /** Returns the name used in responses. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
