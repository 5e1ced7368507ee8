package org.godwithoist.admission;

import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.membership.ServiceState;

/**
 * Admission state of a target; determines how many requests it may have in progress, apart from the
 * skew bound.
 */
public enum AdmissionState {
    /** The response time of the target is unknown or too slow. */
    COLD {
        @Override
        int limit(AdmissionLimits limits, int warmUpLimit) {
            return Math.min(limits.coldStartLimit(), limits.maxConcurrent());
        }

        @Override
        AdmissionState afterGrowth(AdmissionLimits limits, int warmUpLimit) {
            return WARMING.afterGrowth(limits, warmUpLimit);
        }
    },
    /** The target responds at normal speed and its limit is being raised. */
    WARMING {
        @Override
        int limit(AdmissionLimits limits, int warmUpLimit) {
            return Math.min(warmUpLimit, limits.maxConcurrent());
        }

        @Override
        AdmissionState afterGrowth(AdmissionLimits limits, int warmUpLimit) {
            return warmUpLimit >= limits.maxConcurrent() ? WARM : WARMING;
        }
    },
    /** The target may have as many requests as its hard limit. */
    WARM {
        @Override
        int limit(AdmissionLimits limits, int warmUpLimit) {
            return limits.maxConcurrent();
        }
    },
    /**
     * The platform lists the target as leaving, or no longer lists it; it only finishes its
     * requests.
     */
    DRAINING,
    /** The target is out of service by an operator order. */
    OUT_OF_SERVICE;

    /**
     * Returns the number of requests that the target may have in progress.
     *
     * @param limits limits of its pool
     * @param warmUpLimit limit reached by warm-up
     */
    int limit(AdmissionLimits limits, int warmUpLimit) {
        return 0;
    }

    /** Returns the state after the warm-up limit was raised to the given value. */
    AdmissionState afterGrowth(AdmissionLimits limits, int warmUpLimit) {
        return this;
    }

    /** Returns whether the target may receive new requests. */
    public boolean inService() {
        return this == COLD || this == WARMING || this == WARM;
    }

    /**
     * Returns the state after membership reported the given service state. A target that comes back
     * into service starts cold.
     */
    AdmissionState withServiceState(ServiceState service) {
        return switch (service) {
            case IN_SERVICE -> inService() ? this : COLD;
            case DRAINING -> DRAINING;
            case OUT_OF_SERVICE -> OUT_OF_SERVICE;
        };
    }
}
