package org.godwithoist.overload;

/**
 * Limits of the admission of requests to services with insufficient capacity. Immutable; created by
 * a {@link Builder}.
 */
public final class OverloadLimits {
    /** Limits that suit all deployments. */
    public static final OverloadLimits DEFAULT = builder().build();

    private final double fullAt;
    private final double relievedAt;
    private final double queuedAt;
    private final double minLimitFactor;
    private final int maxWaiting;
    private final double kindFloor;
    private final double workspaceFloor;
    private final int retryShareDivisor;

    private OverloadLimits(Builder b) {
        fullAt = b.fullAt;
        relievedAt = b.relievedAt;
        queuedAt = b.queuedAt;
        minLimitFactor = b.minLimitFactor;
        maxWaiting = b.maxWaiting;
        kindFloor = b.kindFloor;
        workspaceFloor = b.workspaceFloor;
        retryShareDivisor = b.retryShareDivisor;
    }

    /** Returns a builder with the default values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the fraction of the slots in use from which a service counts as full. */
    public double fullAt() {
        return fullAt;
    }

    /** Returns the fraction of the slots in use below which a full service is relieved. */
    public double relievedAt() {
        return relievedAt;
    }

    /** Returns the requests in the targets' queues per slot from which a service is full. */
    public double queuedAt() {
        return queuedAt;
    }

    /** Returns the smallest fraction of the slots to which the limit falls. */
    public double minLimitFactor() {
        return minLimitFactor;
    }

    /** Returns the maximum number of requests that wait for one service. */
    public int maxWaiting() {
        return maxWaiting;
    }

    /** Returns how often a kind of request is served at least, relative to all requests. */
    public double kindFloor() {
        return kindFloor;
    }

    /** Returns the least share of a workspace, relative to an equal cut of all demand. */
    public double workspaceFloor() {
        return workspaceFloor;
    }

    /** Returns the divisor of the caller's time left that limits the delay of a retry. */
    public int retryShareDivisor() {
        return retryShareDivisor;
    }

    /** Builds {@link OverloadLimits}. */
    public static final class Builder {
        private double fullAt = 0.9;

        /** Well above half of the slots, under which no request may be refused. */
        private double relievedAt = 0.75;

        private double queuedAt = 0.05;

        /** At half of the slots in use, no request may be refused. */
        private double minLimitFactor = 0.5;

        /** Bounds the time that it takes to order the queue. */
        private int maxWaiting = 128;

        /** Callers need a quarter; the margin covers the variance of short queues. */
        private double kindFloor = 0.4;

        /** Callers need a quarter; the margin covers the error of the measured demand. */
        private double workspaceFloor = 0.4;

        /** Callers honour a delay of up to a third of the time that they have left. */
        private int retryShareDivisor = 3;

        private Builder() {}

        /** Sets the fractions of slots in use at which a service becomes full and is relieved. */
        public Builder fullAt(double full, double relieved) {
            fullAt = full;
            relievedAt = relieved;
            return this;
        }

        /** Sets the requests in the targets' queues per slot from which a service is full. */
        public Builder queuedAt(double value) {
            queuedAt = value;
            return this;
        }

        /** Sets the smallest fraction of the slots to which the limit falls. */
        public Builder minLimitFactor(double value) {
            minLimitFactor = value;
            return this;
        }

        /** Sets the maximum number of requests that wait for one service. */
        public Builder maxWaiting(int value) {
            maxWaiting = value;
            return this;
        }

        /** Sets the floors of kinds of request and of workspaces. */
        public Builder floors(double kind, double workspace) {
            kindFloor = kind;
            workspaceFloor = workspace;
            return this;
        }

        /**
         * Creates the limits.
         *
         * @throws IllegalArgumentException if a request could be refused while half of the slots
         *     are free, or the floors leave nothing to order
         */
        public OverloadLimits build() {
            if (relievedAt < 0.5 || relievedAt > fullAt || minLimitFactor < 0.5) {
                throw new IllegalArgumentException(
                        "limits below half of the slots: " + relievedAt + ", " + minLimitFactor);
            }
            if (kindFloor < 0 || kindFloor >= 1 || workspaceFloor < 0 || workspaceFloor >= 1) {
                throw new IllegalArgumentException(
                        "floors must be below 1: " + kindFloor + ", " + workspaceFloor);
            }
            if (queuedAt <= 0 || maxWaiting < 0) {
                throw new IllegalArgumentException(
                        "invalid queue limits: " + queuedAt + ", " + maxWaiting);
            }
            return new OverloadLimits(this);
        }
    }
}
