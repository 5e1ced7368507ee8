package org.godwithoist.services;

import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;

/** A target did not respond to a request. */
public final class ServiceException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** How far the request got. */
    public enum Kind {
        /** No byte was sent. */
        NOT_SENT(ErrorCode.TARGET_FAILED, RunState.NOT_RUN),
        /** The connection was lost after the first byte was sent. */
        CONNECTION_LOST(ErrorCode.TARGET_FAILED, RunState.UNKNOWN),
        /** The target did not respond before the deadline. */
        TIMED_OUT(ErrorCode.DEADLINE_EXCEEDED, RunState.UNKNOWN);

        private final ErrorCode code;
        private final RunState runState;

        Kind(ErrorCode code, RunState runState) {
            this.code = code;
            this.runState = runState;
        }

        /** Returns whether the target may have run the request. */
        public boolean mayHaveRun() {
            return !runState.allowsRetry();
        }
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param message sentence that names the target
     */
    public ServiceException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns how far the request got. */
    public Kind kind() {
        return kind;
    }

    /** Returns the failure as it is reported to the caller. */
    RequestException toRequestException() {
        return new RequestException(kind.code, kind.runState, getMessage()).withCause(this);
    }
}
