package org.godwithoist.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.time.Ticker;

/** One daemon's view of one order, from its receipt to its end. Thread-safe. */
final class Trial {
    /** Time without the leader after which nothing new is sent to the canary. */
    private static final Duration LEADER_SILENCE = Duration.ofSeconds(2);

    /** Steps that are kept apart; bounds what an order costs when its share often changes. */
    private static final int MAX_STEPS = 12;

    private final RolloutOrder order;
    private final RolloutPolicy policy;
    private final Ticker ticker;
    private final EvidenceRecorder recorder;
    private final FleetEvidence others = new FleetEvidence();
    private final EvidenceHistory history = new EvidenceHistory();
    private long orderedAt;

    private Progress progress = Progress.NONE;
    private long stepAt;
    private Evidence stepBase = Evidence.NONE;
    private final List<Evidence> earlierSteps = new ArrayList<>();
    private Optional<String> fault = Optional.empty();
    private boolean canaryTargets;
    private boolean baselineTargets = true;

    // Read by each request, without a lock.
    private volatile Slice slice = Slice.NOTHING;
    private volatile long sliceUntil;

    Trial(RolloutOrder order, Duration age, RolloutPolicy policy, Ticker ticker) {
        this.order = order;
        this.policy = policy;
        this.ticker = ticker;
        recorder = new EvidenceRecorder(order);
        orderedAt = ticker.nanos() - age.toNanos();
        stepAt = orderedAt;
        sliceUntil = ticker.nanos();
    }

    /** Takes a greater age over; the order may have begun before this daemon saw it. */
    synchronized void adoptAge(Duration age) {
        long at = ticker.nanos() - age.toNanos();
        if (at - orderedAt < 0) {
            orderedAt = at;
        }
    }

    RolloutOrder order() {
        return order;
    }

    EvidenceRecorder recorder() {
        return recorder;
    }

    synchronized Progress progress() {
        return progress;
    }

    synchronized Optional<String> fault() {
        return fault;
    }

    /** Returns the chats whose requests go to the canary at present. */
    Slice slice() {
        return sliceUntil - ticker.nanos() > 0 ? slice : Slice.NOTHING;
    }

    /** Takes account of whether each release has targets. */
    synchronized void setTargets(boolean ofCanary, boolean ofBaseline) {
        canaryTargets = ofCanary;
        if (baselineTargets != ofBaseline) {
            baselineTargets = ofBaseline;
            updateSlice(fleet());
        }
    }

    synchronized void receive(EvidenceSource source, Evidence evidence) {
        others.receive(source, evidence, ticker.nanos());
    }

    synchronized Evidence fleet() {
        return others.sum().plus(recorder.evidence());
    }

    /** Takes a fault over from another daemon or from this one's own check. */
    synchronized void markFaulty(String reason) {
        if (fault.isEmpty()) {
            fault = Optional.of(reason);
            updateSlice(fleet());
        }
    }

    /** Takes progress over that does not show that the leader is alive. */
    synchronized void merge(Progress other) {
        Progress merged = progress.mergedWith(other);
        if (merged.equals(progress)) {
            return;
        }
        boolean sameShare = merged.share() == progress.share();
        progress = merged;
        Evidence total = fleet();
        if (!sameShare) {
            startStep(total);
        }
        updateSlice(total);
    }

    /** Takes progress over that its leader has just stated. */
    synchronized void hear(Progress stated) {
        merge(stated);
        if (stated.term() == progress.term()) {
            sliceUntil = ticker.nanos() + LEADER_SILENCE.toNanos();
        }
    }

    /** Updates the windows and stops sending to the canary if it turns out to be bad. */
    synchronized void update() {
        Evidence total = fleet();
        history.add(ticker.nanos(), total);
        if (fault.isEmpty() && !progress.state().isTerminal()) {
            fault = policy.fault(progress, observation(total));
        }
        updateSlice(total);
    }

    /** Returns what the leader of a term should do; empty if a later leader has been heard. */
    synchronized Optional<Decision> decide(long term) {
        if (term < progress.term()) {
            return Optional.empty();
        }
        Progress now = term > progress.term() ? progress.inTerm(term) : progress;
        if (now.state().isTerminal()) {
            return Optional.of(new Decision(progress, "the order is " + progress.state()));
        }
        if (fault.isPresent()) {
            return Optional.of(new Decision(now.reverted(), fault.get()));
        }
        return Optional.of(policy.decide(order, now, observation(fleet())));
    }

    private Observation observation(Evidence total) {
        long now = ticker.nanos();
        return new Observation(
                Duration.ofNanos(now - orderedAt),
                Duration.ofNanos(now - stepAt),
                total,
                total.minus(stepBase),
                List.copyOf(earlierSteps),
                history.recent(total),
                others.baselineInFlight(now)
                        + recorder.evidence().total(Release.BASELINE).inFlight(),
                canaryTargets,
                baselineTargets);
    }

    private void startStep(Evidence total) {
        if (earlierSteps.size() == MAX_STEPS) {
            earlierSteps.add(earlierSteps.removeLast().plus(earlierSteps.removeLast()));
        }
        earlierSteps.add(total.minus(stepBase));
        stepAt = ticker.nanos();
        stepBase = total;
    }

    private void updateSlice(Evidence total) {
        boolean sending =
                fault.isEmpty()
                        && !progress.state().isTerminal()
                        && policy.permitsExposure(progress, total, baselineTargets);
        boolean trial = Stage.of(progress).isTrial() || Stage.of(progress) == Stage.RAMP;
        slice = sending ? Slice.of(order.id(), progress.share(), trial, total) : Slice.NOTHING;
    }
}
