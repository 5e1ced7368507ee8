package org.godwithoist.overload;

import java.time.Duration;

/**
 * What one daemon knows of a service's capacity, and its part of it. Read at intervals, so that a
 * request costs no look at the targets. Not thread-safe.
 */
final class DaemonLimit {
    /** Interval at which the signals are read; load reports arrive every 150 ms or less often. */
    private static final Duration REFRESH_INTERVAL = Duration.ofMillis(100);

    /** Fraction of the slots in use from which the daemons tell each other their demand. */
    private static final double REPORTED_USE = 0.6;

    /**
     * Slots of the even share from which requests are limited. A daemon with less than one slot
     * would refuse requests that arrive close together, while the slots of the other daemons are
     * free.
     */
    private static final double MIN_PART_SLOTS = 1;

    private final CapacitySource source;
    private final OverloadLimits limits;
    private final DemandMeter meter;
    private final ShareCredits credits;
    private final ConcurrencyLimit limit;
    private final SlotAllowance allowance;
    private CapacitySignals signals = CapacitySignals.NONE;
    private long refreshedAt;
    private boolean limited;
    private boolean evenShare;

    DaemonLimit(
            CapacitySource source,
            OverloadLimits limits,
            DemandMeter meter,
            ShareCredits credits,
            long now) {
        this.source = source;
        this.limits = limits;
        this.meter = meter;
        this.credits = credits;
        limit = new ConcurrencyLimit(limits, now);
        allowance = new SlotAllowance(now);
        refreshedAt = now - REFRESH_INTERVAL.toNanos();
    }

    /** Returns whether the signals were read too long ago. */
    boolean isOutdated(long now) {
        return now - refreshedAt >= REFRESH_INTERVAL.toNanos();
    }

    /** Reads the signals; returns whether requests begin or cease to be limited. */
    boolean refresh(long now) {
        refreshedAt = now;
        signals = source.signals();
        limit.update(signals, now);
        boolean limitedNow = limit.isFull() && canBeSplit();
        boolean changed = limited != limitedNow;
        limited = limitedNow;
        if (changed) {
            meter.setLearning(!limit.isFull(), now);
            credits.clear();
        }
        if (limited) {
            updatePart(now);
        }
        return changed;
    }

    /** Gives a workspace that has had no requests its part at once. */
    void addWorkspace(WorkspaceKey key, long now) {
        if (limited && !credits.knows(key)) {
            updatePart(now);
        }
    }

    private boolean canBeSplit() {
        return source.share().of((double) signals.slots()) >= MIN_PART_SLOTS;
    }

    private void updatePart(long now) {
        DaemonPart part =
                DaemonPart.of(
                        limit.slots(signals),
                        meter.demand(now),
                        source.peerDemand(),
                        source.share(),
                        limits.workspaceFloor());
        allowance.set(part.slots(), meter.holdSeconds(), now);
        credits.update(part.byWorkspace(), meter, now);
        evenShare = part.even();
    }

    /** Returns whether the targets report the work time, so that requests may be limited. */
    boolean isActive() {
        return signals.reportsWorkTime();
    }

    boolean isLimited() {
        return limited;
    }

    boolean isEvenShare() {
        return evenShare;
    }

    /** Returns whether the other daemons need to know this daemon's demand. */
    boolean concernsOthers() {
        return isActive() && canBeSplit() && (limited || signals.use() >= REPORTED_USE);
    }

    CapacitySignals signals() {
        return signals;
    }

    SlotAllowance allowance() {
        return allowance;
    }

    /** Returns the limit for all daemons, which follows the responses of the targets. */
    ConcurrencyLimit fleetLimit() {
        return limit;
    }
}
