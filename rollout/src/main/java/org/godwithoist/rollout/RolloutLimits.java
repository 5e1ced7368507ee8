package org.godwithoist.rollout;

import java.time.Duration;

/** Immutable bounds on what a bad version may receive; from the settings of the deployment. */
public final class RolloutLimits {
    private final double exposureShare;
    private final long exposureSlack;
    private final Duration rollback;

    private RolloutLimits(Builder builder) {
        exposureShare = builder.exposureShare;
        exposureSlack = builder.exposureSlack;
        rollback = builder.rollback;
    }

    /** Returns a builder with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the share of the requests since an order that a bad version may receive. */
    public double exposureShare() {
        return exposureShare;
    }

    /** Returns the requests that a bad version may receive beyond its share. */
    public long exposureSlack() {
        return exposureSlack;
    }

    /** Returns the time from the 50th bad response of a version to the last request to it. */
    public Duration rollback() {
        return rollback;
    }

    /** Collects the bounds. */
    public static final class Builder {
        private double exposureShare = 0.1;
        private long exposureSlack = 50;
        private Duration rollback = Duration.ofSeconds(5);

        private Builder() {}

        /** Sets the share of the requests that a bad version may receive. */
        public Builder exposureShare(double share) {
            if (!(share > 0 && share <= 1)) {
                throw new IllegalArgumentException(
                        "exposureShare must be above 0 and at most 1, not " + share);
            }
            exposureShare = share;
            return this;
        }

        /** Sets the requests that a bad version may receive beyond its share. */
        public Builder exposureSlack(long requests) {
            if (requests < 0) {
                throw new IllegalArgumentException(
                        "exposureSlack must not be negative: " + requests);
            }
            exposureSlack = requests;
            return this;
        }

        /** Sets the time from the 50th bad response to the last request. */
        public Builder rollback(Duration time) {
            if (time.isNegative() || time.isZero()) {
                throw new IllegalArgumentException("rollback must be positive: " + time);
            }
            rollback = time;
            return this;
        }

        /** Returns the bounds. */
        public RolloutLimits build() {
            return new RolloutLimits(this);
        }
    }
}
