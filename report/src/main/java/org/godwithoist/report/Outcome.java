package org.godwithoist.report;

import java.util.Set;
import org.godwithoist.core.error.ErrorCode;

/** Classification of a finished request for the service-level objective. */
public enum Outcome {
    /** The response was complete and within the latency objectives. */
    GOOD {
        @Override
        boolean spendsBudget(ErrorCode cause) {
            return false;
        }
    },
    /** The response was complete, but exceeded a latency objective. */
    LATE {
        @Override
        boolean spendsBudget(ErrorCode cause) {
            return true;
        }
    },
    /** The request was rejected and did not run. */
    REFUSED {
        @Override
        boolean spendsBudget(ErrorCode cause) {
            return !CALLER_ERRORS.contains(cause);
        }
    },
    /** The request may have run, but there is no complete response. */
    FAILED {
        @Override
        boolean spendsBudget(ErrorCode cause) {
            return !CALLER_ERRORS.contains(cause);
        }
    };

    /**
     * Errors of the caller, which the fleet cannot avoid; they neither spend the error budget nor
     * count as requests.
     */
    private static final Set<ErrorCode> CALLER_ERRORS =
            Set.of(
                    ErrorCode.BAD_REQUEST,
                    ErrorCode.UNAUTHENTICATED,
                    ErrorCode.FORBIDDEN,
                    ErrorCode.NOT_FOUND,
                    ErrorCode.REQUEST_TIMEOUT,
                    ErrorCode.CONFLICT,
                    ErrorCode.BODY_TOO_LARGE,
                    ErrorCode.HEADERS_TOO_LARGE,
                    ErrorCode.OVER_LIMIT);

    /** Returns whether a request with this outcome and cause spends the error budget. */
    abstract boolean spendsBudget(ErrorCode cause);
}
