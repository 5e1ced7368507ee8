package org.godwithoist.targets;

import java.util.List;

/**
 * Estimates the outstanding work of all daemons at each target: that of this daemon, which it
 * counts, and that of the others, which they report. While their reports are incomplete, the
 * requests of others that targets and load reports show count too, each with the mean work of a
 * request whose work is known.
 */
final class WorkEstimate {
    private final PeerWork.View peerWork;
    private final double prefillPerRequest;
    private final double heldPerRequest;

    /**
     * Creates an estimate.
     *
     * @param loads estimated requests of all daemons at each target
     */
    WorkEstimate(List<Target> targets, double[] loads, PeerWork.View peerWork) {
        this.peerWork = peerWork;
        if (peerWork.complete()) {
            prefillPerRequest = 0;
            heldPerRequest = 0;
            return;
        }
        long prefill = 0;
        long held = 0;
        double requests = 0;
        for (int i = 0; i < loads.length; i++) {
            TokenWork own = targets.get(i).work().outstanding();
            TokenWork others = peerWork.work(targets.get(i).key());
            prefill += own.prefill() + others.prefill();
            held += own.held() + others.held();
            requests += own.isNone() && others.isNone() ? 0 : loads[i];
        }
        prefillPerRequest = requests == 0 ? 0 : prefill / requests;
        heldPerRequest = requests == 0 ? 0 : held / requests;
    }

    /** Returns the prompt tokens that a target still has to process for all daemons. */
    long prefill(Target target, double load) {
        long known = target.work().outstanding().prefill() + peerWork.work(target.key()).prefill();
        return peerWork.complete() ? known : Math.max(known, Math.round(load * prefillPerRequest));
    }

    /** Returns the tokens for which a target needs memory for all daemons. */
    long held(Target target, double load) {
        long known = target.work().outstanding().held() + peerWork.work(target.key()).held();
        return peerWork.complete() ? known : Math.max(known, Math.round(load * heldPerRequest));
    }

    /**
     * Returns the work of all daemons at a target.
     *
     * @param load estimated requests of all daemons there
     */
    TokenWork outstanding(Target target, double load) {
        return new TokenWork(prefill(target, load), held(target, load));
    }
}
