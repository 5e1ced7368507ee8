package org.godwithoist.rollout;

import java.time.Duration;

/** Stages of an order in progress, by the share of the traffic. */
enum Stage {
    /** The canary gets nothing: no targets, or the exposure is at its bound. */
    WAITING(0, 0, Duration.ZERO, 0),
    /** A small share that collects evidence on each route. */
    TRIAL(0.3, 0, Duration.ZERO, 0),
    /** First larger share. */
    RAMP(0.3, 0.04, Duration.ofMillis(300), 5),
    /** Nearly all traffic; the rest shows how the baseline does under the same conditions. */
    MOST(0.8, 0.04, Duration.ofMillis(300), 8),
    /** All traffic, while the baseline completes its requests. */
    FULL(1, 0.05, Duration.ofMillis(500), 10);

    /** Requests come at random, so some intervals bring half of the mean. */
    private static final double ANSWERS_MARGIN = 2;

    /** Longest time planned for the answers; slower services do not get them in an order. */
    private static final double MAX_WAIT_S = 2;

    private final double share;
    private final double minFraction;
    private final Duration minTime;
    private final long minAnswers;

    /**
     * Creates a stage.
     *
     * @param share share of the traffic; of a trial its upper limit
     * @param minFraction shortest time as a fraction of the order's duration
     * @param minTime shortest time
     * @param minAnswers answers of the canary in this stage before the next one
     */
    Stage(double share, double minFraction, Duration minTime, long minAnswers) {
        this.share = share;
        this.minFraction = minFraction;
        this.minTime = minTime;
        this.minAnswers = minAnswers;
    }

    static Stage of(Progress progress) {
        if (progress.share() == 0) {
            return WAITING;
        }
        if (progress.share() < RAMP.share) {
            return TRIAL;
        }
        if (progress.share() < MOST.share) {
            return RAMP;
        }
        return progress.share() < 1 ? MOST : FULL;
    }

    double share() {
        return share;
    }

    /** Returns the following stage; {@link #FULL} is the last one. */
    Stage next() {
        return switch (this) {
            case WAITING -> TRIAL;
            case TRIAL -> RAMP;
            case RAMP -> MOST;
            case MOST, FULL -> FULL;
        };
    }

    /** Returns whether the canary is still on trial, with bounded exposure. */
    boolean isTrial() {
        return compareTo(RAMP) < 0;
    }

    /** Returns the answers of the canary that the stage needs. */
    long minAnswers() {
        return minAnswers;
    }

    /** Returns the shortest time that the stage takes in an order. */
    Duration minTime(RolloutOrder order) {
        Duration relative = Symptom.multipliedBy(order.duration(), minFraction);
        return relative.compareTo(minTime) > 0 ? relative : minTime;
    }

    /** Returns the time in which the stage usually gets its answers at a rate of requests. */
    Duration timeForAnswers(double rate) {
        double seconds =
                Math.min(MAX_WAIT_S, ANSWERS_MARGIN * minAnswers / Math.max(1, rate * share));
        return Duration.ofNanos((long) (seconds * 1e9));
    }
}
