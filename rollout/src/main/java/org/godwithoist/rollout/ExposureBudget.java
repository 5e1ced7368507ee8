package org.godwithoist.rollout;

import java.time.Duration;

/**
 * The requests that a version on trial may receive. Most of the bound is kept for the stages after
 * the trial, in which a version that turns bad receives most of the traffic until it is noticed.
 */
final class ExposureBudget {
    /** Share of an order's traffic for the trial, as a part of the exposure share. */
    private static final double TRIAL_PART = 0.2;

    /** Part of the slack for the trial. */
    private static final double TRIAL_SLACK_PART = 0.5;

    /**
     * Part of the slack that the guard leaves to requests that are sent before the daemons learn
     * that the bound is reached.
     */
    private static final double GUARD_SLACK_PART = 0.6;

    /** Share until the rate of requests is known. */
    static final double FIRST_SHARE = 0.05;

    private static final double MIN_SHARE = 0.01;

    /** Below the first stage after the trial. */
    private static final double MAX_SHARE = 0.25;

    private final RolloutLimits limits;

    ExposureBudget(RolloutLimits limits) {
        this.limits = limits;
    }

    /** Returns whether the canary has received as much as it may on trial. */
    boolean isUsedUp(Evidence total) {
        return total.total(Release.CANARY).sent() >= guard(total);
    }

    /** Returns the requests that the canary may have received on trial. */
    long guard(Evidence total) {
        return (long)
                (limits.exposureShare() * total.sent() + GUARD_SLACK_PART * limits.exposureSlack());
    }

    /**
     * Returns the share for the trial, such that it uses up its part of the budget.
     *
     * @param rate requests of the service a second
     * @param duration duration of the order
     * @param trial expected duration of the trial
     */
    double trialShare(double rate, Duration duration, Duration trial) {
        double expected = rate * seconds(duration);
        double budget =
                TRIAL_PART * limits.exposureShare() * expected
                        + TRIAL_SLACK_PART * limits.exposureSlack();
        double share = budget / Math.max(1, rate * seconds(trial));
        // A larger share would reach the bound before the trial ends.
        return Math.clamp(share, MIN_SHARE, MAX_SHARE);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
