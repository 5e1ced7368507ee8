package org.godwithoist.settings;

import java.time.Duration;

/**
 * Bounds on what a bad version may receive while it is rolled out.
 *
 * @param exposureShare share of the requests to a service since an order
 * @param exposureSlack requests beyond the share
 * @param rollback time from the 50th bad response to the last request to the version
 */
public record RolloutBounds(double exposureShare, long exposureSlack, Duration rollback) {
    /** Requests beyond the share if the deployment names none. */
    public static final long DEFAULT_SLACK = 50;

    /** Time to the last request if the deployment names none. */
    public static final Duration DEFAULT_ROLLBACK = Duration.ofSeconds(5);

    /**
     * Validates the bounds.
     *
     * @throws IllegalArgumentException if one is out of its range
     */
    public RolloutBounds {
        if (!(exposureShare > 0 && exposureShare <= 1)) {
            throw new IllegalArgumentException(
                    "the share must be above 0 and at most 1, not " + exposureShare);
        }
        if (exposureSlack < 0 || rollback.isNegative() || rollback.isZero()) {
            throw new IllegalArgumentException(
                    "the slack must not be negative, and the time to a rollback must be positive");
        }
    }
}
