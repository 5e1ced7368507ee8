package org.godwithoist.core.error;

import java.time.Duration;
import java.util.Optional;

/** A failed request: a stable code, a sentence for the caller and whether the request ran. */
public final class RequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final RunState runState;
    private final transient Optional<Duration> retryAfter;

    /**
     * Makes a failure without advice on when to retry.
     *
     * @param code stable code
     * @param runState whether a target ran the request
     * @param message one sentence for the caller, without secrets
     */
    public RequestException(ErrorCode code, RunState runState, String message) {
        this(code, runState, message, Optional.empty(), null);
    }

    private RequestException(
            ErrorCode code,
            RunState runState,
            String message,
            Optional<Duration> retryAfter,
            Throwable cause) {
        super(message, cause);
        this.code = code;
        this.runState = runState;
        this.retryAfter = retryAfter;
    }

    /** Makes a failure of a request that certainly did not run. */
    public static RequestException notRun(ErrorCode code, String message) {
        return new RequestException(code, RunState.NOT_RUN, message);
    }

    /** Makes a failure of a request of which it is not known whether it ran. */
    public static RequestException unknown(ErrorCode code, String message) {
        return new RequestException(code, RunState.UNKNOWN, message);
    }

    /** Returns a copy that advises the caller to retry after the given time. */
    public RequestException withRetryAfter(Duration time) {
        return new RequestException(code, runState, getMessage(), Optional.of(time), getCause());
    }

    /** Returns a copy with the failure behind this one. */
    public RequestException withCause(Throwable cause) {
        return new RequestException(code, runState, getMessage(), retryAfter, cause);
    }

    /** Returns a copy with another run state. */
    public RequestException withRunState(RunState state) {
        return new RequestException(code, state, getMessage(), retryAfter, getCause());
    }

    /** Returns the stable code. */
    public ErrorCode code() {
        return code;
    }

    /** Returns whether a target ran the request. */
    public RunState runState() {
        return runState;
    }

    /** Returns after which time a retry may succeed, if known. */
    public Optional<Duration> retryAfter() {
        return retryAfter == null ? Optional.empty() : retryAfter;
    }
}
