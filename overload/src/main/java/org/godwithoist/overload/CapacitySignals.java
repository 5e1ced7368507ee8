package org.godwithoist.overload;

import java.util.List;
import java.util.Set;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.targets.HealthState;
import org.godwithoist.targets.PeerLoads;
import org.godwithoist.targets.Target;

/**
 * What the targets of a service show of its capacity at one moment.
 *
 * @param slots slots of the targets that get requests
 * @param inProgress requests of all daemons in progress at these targets, including queued ones
 * @param queued requests in the targets' own queues
 * @param reportsWorkTime whether the targets report how long work takes on their hosts
 */
record CapacitySignals(int slots, double inProgress, double queued, boolean reportsWorkTime) {
    /** A service without targets. */
    static final CapacitySignals NONE = new CapacitySignals(0, 0, 0, false);

    /**
     * Reads the signals. Load reports of targets fill in for daemons whose reports are missing.
     *
     * @param outOfService failure domains whose targets get no new requests
     */
    static CapacitySignals of(
            List<Target> targets, PeerLoads.View peers, Set<FailureDomainId> outOfService) {
        if (targets.stream().noneMatch(Target::reportsWorkTime)) {
            return NONE;
        }
        int slots = 0;
        double inProgress = 0;
        double queued = 0;
        for (Target t : targets) {
            if (!isUsable(t, outOfService)) {
                continue;
            }
            slots += t.entry().slots();
            inProgress += t.inFlight() + others(t, peers);
            queued += t.reportedWaiting();
        }
        return new CapacitySignals(slots, inProgress, queued, true);
    }

    private static boolean isUsable(Target target, Set<FailureDomainId> outOfService) {
        return !target.isGoingAway()
                && !outOfService.contains(target.entry().domain())
                && target.health() != HealthState.RESTING
                && target.remainingPause().isZero();
    }

    private static double others(Target target, PeerLoads.View peers) {
        int reported = peers.requests(target.id());
        if (peers.complete()) {
            return reported;
        }
        Target.OtherRequests others = target.otherRequests();
        return Math.max(reported, others.requests() * others.weight());
    }

    /** Returns the fraction of the slots in use; above 1 if requests are queued. */
    double use() {
        return slots == 0 ? 0 : inProgress / slots;
    }

    /** Returns the requests in the targets' own queues per slot. */
    double queuedPerSlot() {
        return slots == 0 ? 0 : queued / slots;
    }
}
