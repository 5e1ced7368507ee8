package org.godwithoist.targets;

import java.util.Arrays;
import java.util.List;

/**
 * Requests at the eligible engines of a service, and which of them are passed over: those that
 * carry well over the mean load, and those that respond much more slowly than the others.
 */
final class PoolLoad {
    /**
     * An engine is slow when requests wait for more than this multiple of the service's median
     * wait.
     */
    private static final double SLOW_WAIT_FACTOR = 3;

    /**
     * Wait permitted beyond the multiple, in milliseconds. An engine processes a long prompt in
     * about 200 ms.
     */
    private static final double SLOW_WAIT_MARGIN_MS = 300;

    private final double[] loads;
    private final double[] waits;
    private final double slowWaitMs;
    private final double bound;

    PoolLoad(RankingInput input) {
        List<Target> eligible = input.eligible();
        LoadEstimate estimate = LoadEstimate.of(eligible, input.peerLoads(), input.now());
        loads = estimate.loads(eligible);
        waits = recentWaits(eligible, input.now());
        slowWaitMs = slowWaitMs(waits);
        double mean = LoadEstimate.mean(loads);
        double listedMean =
                eligible.size() == input.listed().size()
                        ? mean
                        : LoadEstimate.mean(estimate.loads(input.listed()));
        bound = SkewBound.of(input.peerLoads()).loadBound(mean, listedMean);
    }

    /** Returns the estimated requests at each eligible engine. */
    double[] loads() {
        return loads;
    }

    /** Returns the load from which an engine is passed over. */
    double bound() {
        return bound;
    }

    /** Returns whether requests wait much longer at an engine than at the others. */
    boolean isSlow(int index) {
        return waits.length > 0 && waits[index] > slowWaitMs;
    }

    /** Returns the waits; empty if none of them is long enough for a slow engine. */
    private static double[] recentWaits(List<Target> targets, long now) {
        ResponseWaits.Snapshot[] snapshots = new ResponseWaits.Snapshot[targets.size()];
        boolean anyLong = false;
        for (int i = 0; i < snapshots.length; i++) {
            snapshots[i] = targets.get(i).waits();
            anyLong |= snapshots[i].maxWaitMs(now) > SLOW_WAIT_MARGIN_MS;
        }
        if (!anyLong) {
            return new double[0];
        }
        double[] waits = new double[snapshots.length];
        for (int i = 0; i < waits.length; i++) {
            waits[i] = snapshots[i].recentWaitMs(now);
        }
        return waits;
    }

    private static double slowWaitMs(double[] waits) {
        double[] sorted = waits.clone();
        Arrays.sort(sorted);
        double median = sorted.length == 0 ? 0 : sorted[sorted.length / 2];
        return SLOW_WAIT_FACTOR * median + SLOW_WAIT_MARGIN_MS;
    }
}
