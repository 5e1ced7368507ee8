package org.godwithoist.overload;

import java.time.Duration;

/**
 * Limit of the work in progress of one service, as a fraction of the slots of its targets. It falls
 * while targets queue, refuse or respond late, and rises again when they do not. Not thread-safe.
 */
final class ConcurrencyLimit {
    /** Responses needed before the late or refused ones among them count. */
    private static final double MIN_RESPONSES = 10;

    /** Requests in queues below which a service with few slots is not full for that reason. */
    private static final double MIN_QUEUED = 2;

    private static final double CONGESTED_LATE = 0.2;
    private static final double CONGESTED_REFUSED = 0.1;
    private static final double CUT = 0.95;
    private static final double RISE = 0.02;

    /** The effect of a cut shows after the next load reports of the daemons. */
    private static final Duration CUT_INTERVAL = Duration.ofMillis(300);

    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final OverloadLimits limits;
    private final DecayingCount responses;
    private final DecayingCount late;
    private final DecayingCount refused;
    private double factor = 1;
    private boolean full;
    private long cutAt;

    ConcurrencyLimit(OverloadLimits limits, long now) {
        this.limits = limits;
        responses = new DecayingCount(WINDOW, now);
        late = new DecayingCount(WINDOW, now);
        refused = new DecayingCount(WINDOW, now);
        cutAt = now;
    }

    /** Records a response of a target. */
    void recordResponse(boolean isLate, long now) {
        responses.add(1, now);
        late.add(isLate ? 1 : 0, now);
    }

    /** Records that a target has refused a request. */
    void recordRefusal(long now) {
        responses.add(1, now);
        refused.add(1, now);
    }

    /** Follows the targets; to be called at intervals. */
    void update(CapacitySignals signals, long now) {
        boolean congested = isCongested(signals, now);
        full = signals.reportsWorkTime() && isFull(signals, congested);
        if (!full) {
            factor = 1;
        } else if (congested && now - cutAt >= CUT_INTERVAL.toNanos()) {
            factor = Math.max(limits.minLimitFactor(), factor * CUT);
            cutAt = now;
        } else if (!congested) {
            factor = Math.min(1, factor + RISE);
        }
    }

    /**
     * A service becomes full by its slots, queues or responses, and stays so until clearly fewer
     * slots are in use, so that the state does not flap. It never is while under half of the slots
     * are in use and nothing is queued.
     */
    private boolean isFull(CapacitySignals signals, boolean congested) {
        if (signals.queuedPerSlot() >= limits.queuedAt() && signals.queued() >= MIN_QUEUED) {
            return true;
        }
        double relieved = Math.max(limits.minLimitFactor(), limits.relievedAt() * factor);
        double bound = full || congested ? relieved : limits.fullAt();
        return signals.use() >= bound;
    }

    private boolean isCongested(CapacitySignals signals, long now) {
        double all = responses.at(now);
        boolean hasResponses = all >= MIN_RESPONSES;
        return signals.queuedPerSlot() >= 2 * limits.queuedAt()
                || (hasResponses && late.at(now) >= CONGESTED_LATE * all)
                || (hasResponses && refused.at(now) >= CONGESTED_REFUSED * all);
    }

    /** Returns whether the targets show that they are full. */
    boolean isFull() {
        return full;
    }

    /** Returns the limit for all daemons together, in slots. */
    double slots(CapacitySignals signals) {
        return signals.slots() * factor;
    }
}
