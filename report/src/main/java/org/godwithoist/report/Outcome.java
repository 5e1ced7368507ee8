package org.godwithoist.report;

import java.util.Set;
import org.godwithoist.core.error.ErrorCode;

/** How a request ended, as the service-level objective sees it. */
public enum Outcome {
    /** The whole answer came within the objectives. */
    GOOD {
        @Override
        boolean spendsBudget(ErrorCode cause) {
            return false;
        }
    },
    /** The whole answer came, but too late. */
    LATE {
        @Override
        boolean spendsBudget(ErrorCode cause) {
            return true;
        }
    },
    /** The request was refused and did not run. */
    REFUSED {
        @Override
        boolean spendsBudget(ErrorCode cause) {
            return !CALLER_FAULTS.contains(cause);
        }
    },
    /** The request may have run, but there is no whole answer. */
    FAILED {
        @Override
        boolean spendsBudget(ErrorCode cause) {
            return !CALLER_FAULTS.contains(cause);
        }
    };

    /** Causes that the fleet cannot avoid; they neither spend the budget nor count as answers. */
    private static final Set<ErrorCode> CALLER_FAULTS =
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
