package org.godwithoist.rollout;

import java.time.Duration;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.targets.SoftwareVersion;

/**
 * An operators' order to move a service's traffic to targets of another version.
 *
 * @param id identifies the order
 * @param service service whose traffic moves
 * @param to version that receives the traffic in the end
 * @param duration time from the order to its deadline
 */
public record RolloutOrder(OrderId id, ServiceId service, SoftwareVersion to, Duration duration) {
    /**
     * Validates the order.
     *
     * @throws IllegalArgumentException if the duration is not positive
     */
    public RolloutOrder {
        if (duration.isNegative() || duration.isZero()) {
            throw new IllegalArgumentException(
                    "the duration of order " + id + " must be positive, not " + duration);
        }
    }
}
