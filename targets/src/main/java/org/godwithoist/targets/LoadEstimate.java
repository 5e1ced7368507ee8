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
    private final PeerLoads.View told;
    private final double meanReported;

    private LoadEstimate(PeerLoads.View told, double meanReported) {
        this.told = told;
        this.meanReported = meanReported;
    }

    static LoadEstimate of(Collection<Target> targets, PeerLoads.View told) {
        double calls = 0;
        double trust = 0;
        for (Target t : targets) {
            Target.Others o = t.others();
            calls += o.calls() * o.trust();
            trust += o.trust();
        }
        return new LoadEstimate(told, trust == 0 ? 0 : calls / trust);
    }

    /** Returns the mean load of the targets; 0 for an empty collection. */
    double mean(Collection<Target> targets) {
        return targets.stream().mapToDouble(this::load).average().orElse(0);
    }

    /** Returns the estimated requests of all daemons at a target. */
    double load(Target target) {
        int others = told.calls(target.id());
        double all = told.complete() ? others : Math.max(others, reported(target));
        return target.inFlight() + all;
    }

    private double reported(Target target) {
        Target.Others o = target.others();
        return o.trust() * o.calls() + (1 - o.trust()) * meanReported;
    }
}
