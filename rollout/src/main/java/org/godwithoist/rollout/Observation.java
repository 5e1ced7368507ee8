package org.godwithoist.rollout;

import java.time.Duration;
import java.util.List;

/**
 * What is known of an order at one moment.
 *
 * @param sinceOrder time since the order
 * @param sinceStep time since the present step began
 * @param total evidence of the fleet since the order
 * @param step evidence of the fleet since the present step began
 * @param earlier evidence of the fleet in each earlier step, in which the conditions were others
 * @param recent evidence of the fleet in the last seconds
 * @param baselineInFlight requests in flight at targets of the baseline, as far as known
 * @param canaryTargets whether there are targets of the canary
 * @param baselineTargets whether there are targets to which the other requests go
 */
public record Observation(
        Duration sinceOrder,
        Duration sinceStep,
        Evidence total,
        Evidence step,
        List<Evidence> earlier,
        Evidence recent,
        long baselineInFlight,
        boolean canaryTargets,
        boolean baselineTargets) {
    /** Keeps the rate finite in the first moments of an order. */
    private static final double MIN_SECONDS = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the requests a second since the order. */
    double rate() {
        return total.sent() / Math.max(MIN_SECONDS, sinceOrder.toNanos() / NANOS_PER_SECOND);
    }
}
