package org.godwithoist.admission;

import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.membership.ServiceState;

/** How much work a target may get, apart from the skew bound. */
public enum AdmissionState {
    /** Nothing is known of the target's speed, or it is known to be slow. */
    COLD {
        @Override
        int limit(AdmissionLimits limits, int grown) {
            return Math.min(limits.coldStartLimit(), limits.maxConcurrent());
        }

        @Override
        AdmissionState afterGrowth(AdmissionLimits limits, int grown) {
            return WARMING.afterGrowth(limits, grown);
        }
    },
    /** The target answers at normal speed and its limit grows. */
    WARMING {
        @Override
        int limit(AdmissionLimits limits, int grown) {
            return Math.min(grown, limits.maxConcurrent());
        }

        @Override
        AdmissionState afterGrowth(AdmissionLimits limits, int grown) {
            return grown >= limits.maxConcurrent() ? WARM : WARMING;
        }
    },
    /** The target may be loaded up to its hard limit. */
    WARM {
        @Override
        int limit(AdmissionLimits limits, int grown) {
            return limits.maxConcurrent();
        }
    },
    /** The platform lists the target as leaving. */
    LEAVING,
    /** Operators took the target out of service. */
    OUT;

    /**
     * Returns the requests that the target may have in progress.
     *
     * @param limits limits of its pool
     * @param grown limit reached by warm-up
     */
    int limit(AdmissionLimits limits, int grown) {
        return 0;
    }

    /** Returns the state after the warm-up limit grew to the given value. */
    AdmissionState afterGrowth(AdmissionLimits limits, int grown) {
        return this;
    }

    /** Returns whether the target may get work at all. */
    public boolean inService() {
        return this == COLD || this == WARMING || this == WARM;
    }

    /** Returns the state that membership's view of the target leads to; it returns as cold. */
    AdmissionState under(ServiceState service) {
        return switch (service) {
            case IN_SERVICE -> inService() ? this : COLD;
            case DRAINING -> LEAVING;
            case OUT_OF_SERVICE -> OUT;
        };
    }
}
