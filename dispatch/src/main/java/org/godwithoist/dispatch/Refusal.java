package org.godwithoist.dispatch;

import java.time.Duration;

/**
 * Refusals: responses of the daemon itself. One that promises "not run" is sent only for a request
 * that no target has run or will run.
 */
public enum Refusal {
    /** The request is malformed. */
    BAD_REQUEST(400, false),
    /** The request has no API key, or one that belongs to no workspace. */
    UNKNOWN_KEY(401, false),
    /** No route matches the host and path of the request. */
    UNKNOWN_ROUTE(404, false),
    /** The body exceeds the limits. */
    BODY_TOO_LARGE(413, false),
    /** The headers exceed the limits. */
    HEADERS_TOO_LARGE(431, false),
    /** No catalog has been received yet. */
    NO_CATALOG(503, true),
    /** The daemon is stopping and could end before it has served the request. */
    STOPPING(503, true) {
        @Override
        public Duration retryDelay() {
            // Another daemon serves the caller immediately.
            return Duration.ZERO;
        }
    },
    /** The requests in progress or the open connections use up the memory reserved for them. */
    NO_MEMORY(503, true),
    /** The targets are full, and none would have a free slot in time. */
    NO_CAPACITY(503, true),
    /** No target may get the request now. */
    NO_TARGET(503, true),
    /**
     * All targets of the service have asked this daemon to pause, have rate limits that permit no
     * request now, or have no room and would fail if they had to reject many requests.
     */
    TARGETS_PAUSED(503, true),
    /**
     * Another daemon has passed the request on, and this one reaches no target either. Another one
     * may, so that the status differs from those for lack of room.
     */
    OUT_OF_REACH(421, true),
    /** The request goes on with a stream, and it is not known which version began it. */
    UNKNOWN_ORIGIN(503, true),
    /** The request goes on with a stream, and no target runs the version that began it. */
    NO_TARGET_OF_VERSION(503, true),
    /** Targets crash when they respond to a part of the request's prompt. */
    QUARANTINED(503, true),
    /** Every target that was tried rejected the request. */
    REJECTED(503, true),
    /** The caller's deadline passed before the request reached a target. */
    EXPIRED(503, true),
    /** A target may have run the request, and its response is unavailable. */
    TARGET_FAILED(502, false),
    /** The caller's deadline or the route's timeout passed while a target handled the request. */
    TIMED_OUT(504, false);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final int status;
    private final boolean promisesNotRun;

    Refusal(int status, boolean promisesNotRun) {
        this.status = status;
        this.promisesNotRun = promisesNotRun;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }

    /**
     * Returns the retry delay of a request that is refused before its route is known, for example
     * while the daemon starts or has no memory; after it, the daemon or the store is likely to
     * respond.
     */
    public Duration retryDelay() {
        return RETRY_DELAY;
    }

    /** Returns whether the refusal leaves open what has become of an attempt at a target. */
    public boolean mayHaveRun() {
        return this == TARGET_FAILED || this == TIMED_OUT;
    }

    /** Returns whether the response promises that the request has not run and never will. */
    public boolean promisesNotRun() {
        return promisesNotRun;
    }
}
