package org.godwithoist.targets;

import java.util.Collection;
import java.util.List;

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
    private final long now;

    private LoadEstimate(PeerLoads.View peerView, double meanReported, long now) {
        this.peerView = peerView;
        this.meanReported = meanReported;
        this.now = now;
    }

    static LoadEstimate of(Collection<Target> targets, PeerLoads.View peerView, long now) {
        if (peerView.complete()) {
            // The loads that targets report are not used then.
            return new LoadEstimate(peerView, 0, now);
        }
        double requests = 0;
        double weight = 0;
        for (Target t : targets) {
            Target.OtherRequests others = t.otherRequests(now);
            requests += others.requests() * others.weight();
            weight += others.weight();
        }
        return new LoadEstimate(peerView, weight == 0 ? 0 : requests / weight, now);
    }

    /** Returns the estimated requests of all daemons at each target, in the order of the list. */
    double[] loads(List<Target> targets) {
        double[] loads = new double[targets.size()];
        for (int i = 0; i < loads.length; i++) {
            loads[i] = load(targets.get(i));
        }
        return loads;
    }

    /** Returns the mean; 0 if there are no loads. */
    static double mean(double[] loads) {
        double sum = 0;
        for (double load : loads) {
            sum += load;
        }
        return loads.length == 0 ? 0 : sum / loads.length;
    }

    /** Returns the estimated requests of all daemons at a target. */
    double load(Target target) {
        int fromPeers = peerView.requests(target.id());
        double otherRequests =
                peerView.complete() ? fromPeers : Math.max(fromPeers, reportedLoad(target));
        return target.inFlight() + otherRequests;
    }

    private double reportedLoad(Target target) {
        Target.OtherRequests others = target.otherRequests(now);
        return others.weight() * others.requests() + (1 - others.weight()) * meanReported;
    }
}
