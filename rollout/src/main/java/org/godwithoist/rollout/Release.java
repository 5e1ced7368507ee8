package org.godwithoist.rollout;

import java.util.Optional;
import org.godwithoist.targets.SoftwareVersion;

/** The two versions that an order compares. */
public enum Release {
    /** The version in use before the order. */
    BASELINE,
    /** The version that the order names. */
    CANARY;

    /**
     * Returns what a target's version is to an order. A target without a version belongs to the
     * baseline.
     *
     * @param order the order
     * @param version version of the target; empty if its entry names none
     */
    public static Release of(RolloutOrder order, Optional<SoftwareVersion> version) {
        return version.filter(order.to()::equals).isPresent() ? CANARY : BASELINE;
    }
}
