package org.godwithoist.rollout;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Decides how an order goes on. It has no state and does not read a clock; the same observation
 * gives the same decision on each daemon.
 */
public final class RolloutPolicy {
    private static final Duration RATE_KNOWN_AFTER = Duration.ofSeconds(1);

    /** Part of an order's duration before which the ramp does not start; a fault may show later. */
    private static final double EARLIEST_RAMP = 0.4;

    /** Part of an order's duration that is left for a change of the leader or lost messages. */
    private static final double RESERVE = 0.15;

    /** Part that is left if a route with little traffic needs more time for its evidence. */
    private static final double LATE_RESERVE = 0.05;

    /** Ratio of the planned share to the present one from which the share is adjusted. */
    private static final double ADJUST_RATIO = 1.4;

    /** Time and part of the duration between the last decision and the deadline, for the store. */
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(300);

    private static final double DEADLINE_MARGIN_PART = 0.05;

    /**
     * Part of the requests sent in a stage that must have been answered before the next one. A
     * version whose responses take too long has not answered them.
     */
    private static final double MIN_ANSWERED = 0.6;

    private static final Duration MESSAGE_DELAY = Duration.ofMillis(300);

    private final Sufficiency sufficiency = new Sufficiency();
    private final ExposureBudget budget;

    /** Creates a policy under the bounds of a deployment. */
    public RolloutPolicy(RolloutLimits limits) {
        budget = new ExposureBudget(limits);
    }

    /** Returns the next progress and why. */
    public Decision decide(RolloutOrder order, Progress now, Observation seen) {
        if (now.state().isTerminal()) {
            return new Decision(now, "the order is " + now.state());
        }
        Optional<Fault> fault = FaultDetector.worst(seen, Stage.of(now));
        if (fault.filter(Fault::isProven).isPresent()) {
            return new Decision(now.reverted(), fault.get().toString());
        }
        if (seen.sinceOrder().compareTo(lastDecision(order)) >= 0) {
            return atDeadline(now, seen, fault);
        }
        if (!seen.canaryTargets()) {
            return held(now, "no target of version " + order.to());
        }
        Stage stage = Stage.of(now);
        if (!seen.baselineTargets() && stage != Stage.FULL && stage != Stage.WAITING) {
            return new Decision(now, "not raised: no target of the version in use");
        }
        if (stage.isTrial() && budget.isUsedUp(seen.total())) {
            return held(now, "exposure at its bound: " + figures(seen.total()));
        }
        boolean late = stage.isTrial() && isLate(order, seen);
        if (fault.filter(f -> !late || f.pValue() < FaultDetector.DOUBTFUL).isPresent()) {
            return new Decision(now, "not raised: " + fault.get());
        }
        return switch (stage) {
            case WAITING -> started(order, now, seen);
            case TRIAL -> inTrial(order, now, seen);
            case RAMP, MOST -> inRamp(order, now, seen);
            case FULL -> atFullShare(order, now, seen);
        };
    }

    /**
     * Returns the fault for which a daemon stops sending to the canary at once, without waiting for
     * the leader.
     */
    public Optional<String> fault(Progress now, Observation seen) {
        return FaultDetector.worst(seen, Stage.of(now))
                .filter(Fault::isProven)
                .map(Fault::toString);
    }

    /**
     * Returns whether a daemon may send requests to the canary as far as its exposure goes. Without
     * a target of the baseline, the exposure is bounded up to the full share, because nothing is
     * left to compare the canary with; at full share, the baseline gets no requests anyway.
     */
    public boolean permitsExposure(Progress now, Evidence total, boolean baselineTargets) {
        Stage stage = Stage.of(now);
        boolean bounded = stage.isTrial() || (!baselineTargets && stage != Stage.FULL);
        return !bounded || !budget.isUsedUp(total);
    }

    private static Decision atDeadline(Progress now, Observation seen, Optional<Fault> fault) {
        boolean proven =
                Stage.of(now) == Stage.FULL
                        && seen.step().total(Release.CANARY).answers() >= Stage.FULL.minAnswers();
        if (fault.filter(f -> f.pValue() < FaultDetector.DOUBTFUL).isPresent()) {
            return new Decision(now.reverted(), "in doubt at the deadline: " + fault.get());
        }
        if (!proven) {
            return new Decision(
                    now.reverted(),
                    "too little evidence at the deadline, share "
                            + text(now.share())
                            + ": "
                            + figures(seen.total()));
        }
        return new Decision(
                now.completed(),
                "good at the deadline, " + seen.baselineInFlight() + " in flight at the baseline");
    }

    private static Decision held(Progress now, String reason) {
        boolean sending = now.share() > 0;
        return new Decision(sending ? now.raisedTo(0) : now, reason);
    }

    private Decision started(RolloutOrder order, Progress now, Observation seen) {
        boolean known = seen.sinceOrder().compareTo(RATE_KNOWN_AFTER) >= 0;
        double share = known ? trialShare(order, seen) : ExposureBudget.FIRST_SHARE;
        return new Decision(now.raisedTo(share), "trial: " + figures(seen.total()));
    }

    private Decision inTrial(RolloutOrder order, Progress now, Observation seen) {
        Optional<String> missing = sufficiency.missing(seen.total(), isLate(order, seen));
        boolean early = seen.sinceOrder().compareTo(rampStart(order, seen, RESERVE)) < 0;
        if (missing.isEmpty() && !early) {
            return raised(now, Stage.RAMP, seen);
        }
        if (seen.sinceOrder().compareTo(RATE_KNOWN_AFTER) < 0) {
            return new Decision(now, "trial: the rate is not known yet");
        }
        double share = trialShare(order, seen);
        double ratio = share / now.share();
        if (ratio > ADJUST_RATIO || ratio < 1 / ADJUST_RATIO) {
            return new Decision(now.raisedTo(share), "trial: " + figures(seen.total()));
        }
        return new Decision(now, missing.orElse("trial: the canary is watched for longer"));
    }

    private static Decision inRamp(RolloutOrder order, Progress now, Observation seen) {
        Stage stage = Stage.of(now);
        Duration time = stageTime(stage, order, seen);
        if (seen.sinceStep().compareTo(time) < 0 || !isAnswered(stage, seen)) {
            return new Decision(now, "share " + text(now.share()) + " is watched");
        }
        return raised(now, stage.next(), seen);
    }

    private static Decision atFullShare(RolloutOrder order, Progress now, Observation seen) {
        Duration time = stageTime(Stage.FULL, order, seen);
        if (seen.sinceStep().compareTo(time) < 0 || !isAnswered(Stage.FULL, seen)) {
            return new Decision(now, "full share is watched");
        }
        if (seen.baselineInFlight() > 0) {
            return new Decision(now, seen.baselineInFlight() + " in flight at the baseline");
        }
        return new Decision(now.completed(), "good at full share: " + figures(seen.step()));
    }

    private static Decision raised(Progress now, Stage stage, Observation seen) {
        return new Decision(
                now.raisedTo(stage.share()),
                "share " + text(stage.share()) + " after " + figures(seen.step()));
    }

    private static boolean isAnswered(Stage stage, Observation seen) {
        Counts canary = seen.step().total(Release.CANARY);
        return canary.answers() >= stage.minAnswers()
                && canary.answers() >= MIN_ANSWERED * canary.sent();
    }

    private double trialShare(RolloutOrder order, Observation seen) {
        return budget.trialShare(seen.rate(), order.duration(), rampStart(order, seen, RESERVE));
    }

    /** Returns the time since the order at which the ramp starts if the evidence suffices. */
    private static Duration rampStart(RolloutOrder order, Observation seen, double reserve) {
        Duration left = lastDecision(order).minus(Symptom.multipliedBy(order.duration(), reserve));
        for (Stage stage : new Stage[] {Stage.RAMP, Stage.MOST, Stage.FULL}) {
            Duration answers = stage.timeForAnswers(seen.rate());
            left = left.minus(Collections.max(List.of(answers, stageTime(stage, order, seen))));
        }
        Duration earliest = Symptom.multipliedBy(order.duration(), EARLIEST_RAMP);
        return left.compareTo(earliest) > 0 ? left : earliest;
    }

    /** Returns whether waiting for more evidence would miss the deadline. */
    private static boolean isLate(RolloutOrder order, Observation seen) {
        return seen.sinceOrder().compareTo(rampStart(order, seen, LATE_RESERVE)) >= 0;
    }

    /**
     * Returns the time that a stage takes. At full share a response that is several times slower
     * than the baseline's must have had the time to arrive.
     */
    private static Duration stageTime(Stage stage, RolloutOrder order, Observation seen) {
        Duration median = seen.total().total(Release.BASELINE).latencies().median();
        double multiple = stage == Stage.FULL ? Symptom.SLOW_MULTIPLE : 1;
        Duration answered = Symptom.multipliedBy(median, multiple).plus(MESSAGE_DELAY);
        return Collections.max(List.of(answered, stage.minTime(order)));
    }

    private static Duration lastDecision(RolloutOrder order) {
        Duration relative = Symptom.multipliedBy(order.duration(), DEADLINE_MARGIN_PART);
        return order.duration().minus(relative).minus(DEADLINE_MARGIN);
    }

    private static String figures(Evidence evidence) {
        Counts canary = evidence.total(Release.CANARY);
        Counts baseline = evidence.total(Release.BASELINE);
        return String.format(
                Locale.ROOT,
                "canary sent %d, answers %d, failures %d; baseline sent %d, answers %d, failures %d",
                canary.sent(),
                canary.answers(),
                canary.failures(),
                baseline.sent(),
                baseline.answers(),
                baseline.failures());
    }

    private static String text(double share) {
        return String.format(Locale.ROOT, "%.3f", share);
    }
}
