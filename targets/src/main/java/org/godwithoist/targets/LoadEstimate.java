package org.godwithoist.targets;

import java.util.Collection;

/**
 * Estimates the requests in flight at each target: those of this daemon, which it counts, and those
 * of the other daemons, which they report. While the reports of daemons are incomplete, the loads
 * that targets report with their responses count too. Such a report loses weight with age; the
 * remainder is filled with the mean target, because an old report that counted as no load would
 * attract the requests of all daemons.
 */
final class LoadEstimate {
    private final PeerLoads.View peerView;
    private final double meanReported;

    private LoadEstimate(PeerLoads.View peerView, double meanReported) {
        this.peerView = peerView;
        this.meanReported = meanReported;
    }

    static LoadEstimate of(Collection<Target> targets, PeerLoads.View peerView) {
        double requests = 0;
        double weight = 0;
        for (Target t : targets) {
            Target.OtherRequests others = t.otherRequests();
            requests += others.requests() * others.weight();
            weight += others.weight();
        }
        return new LoadEstimate(peerView, weight == 0 ? 0 : requests / weight);
    }

    /** Returns the mean load of the targets; 0 for an empty collection. */
    double mean(Collection<Target> targets) {
        return targets.stream().mapToDouble(this::load).average().orElse(0);
    }

    /** Returns the estimated requests of all daemons at a target. */
    double load(Target target) {
        int fromPeers = peerView.requests(target.id());
        double otherRequests =
                peerView.complete() ? fromPeers : Math.max(fromPeers, reportedLoad(target));
        return target.inFlight() + otherRequests;
    }

    private double reportedLoad(Target target) {
        Target.OtherRequests others = target.otherRequests();
        return others.weight() * others.requests() + (1 - others.weight()) * meanReported;
    }
}
