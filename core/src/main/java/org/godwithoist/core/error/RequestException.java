package org.godwithoist.core.error;

import java.time.Duration;
import java.util.Optional;

/**
 * A failed request: a stable error code, a message for the caller and whether a target ran the
 * request.
 */
public final class RequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final RunState runState;
    private final transient Optional<Duration> retryAfter;

    /**
     * Creates an exception without a retry delay.
     *
     * @param message one sentence, sent to the caller; must not contain secrets
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

    /** Creates an exception for a request that no target has run or will run. */
    public static RequestException notRun(ErrorCode code, String message) {
        return new RequestException(code, RunState.NOT_RUN, message);
    }

    /** Creates an exception for a request that a target may have run. */
    public static RequestException unknown(ErrorCode code, String message) {
        return new RequestException(code, RunState.UNKNOWN, message);
    }

    /** Returns a copy with the delay after which the caller may retry. */
    public RequestException withRetryAfter(Duration time) {
        return new RequestException(code, runState, getMessage(), Optional.of(time), getCause());
    }

    /** Returns a copy with the given cause. */
    public RequestException withCause(Throwable cause) {
        return new RequestException(code, runState, getMessage(), retryAfter, cause);
    }

    /** Returns a copy with the given run state. */
    public RequestException withRunState(RunState state) {
        return new RequestException(code, state, getMessage(), retryAfter, getCause());
    }

    /** Returns the stable error code. */
    public ErrorCode code() {
        return code;
    }

    /** Returns whether a target ran the request. */
    public RunState runState() {
        return runState;
    }

    /** Returns the delay after which a retry may succeed; empty if unknown. */
    public Optional<Duration> retryAfter() {
        return retryAfter == null ? Optional.empty() : retryAfter;
    }
}
