package org.godwithoist.targets;

/**
 * Load from which an engine is passed over. It stays below the bound that the deployments set,
 * which is twice the mean of all listed engines plus 3 requests; the margin covers the error of a
 * daemon's load estimate.
 */
enum SkewBound {
    /** All other daemons have reported their requests recently. */
    ALL_PEERS_REPORTED(1.8, 1.85, 2.5),
    /** The requests of some daemons are known from load reports of engines only. */
    PEERS_MISSING(1.5, 1.75, 2);

    /**
     * Lower limit of the bound: an engine near the mean of those in service gets requests, whatever
     * the load of the others.
     */
    private static final double MIN_FACTOR = 1.1;

    private final double factor;
    private final double listedFactor;
    private final double slack;

    /**
     * Creates a bound.
     *
     * @param factor multiple of the mean of the eligible engines
     * @param listedFactor multiple of the mean of all listed engines
     * @param slack requests permitted beyond the multiples, because a small mean varies strongly
     */
    SkewBound(double factor, double listedFactor, double slack) {
        this.factor = factor;
        this.listedFactor = listedFactor;
        this.slack = slack;
    }

    static SkewBound of(PeerLoads.View peerView) {
        return peerView.complete() ? ALL_PEERS_REPORTED : PEERS_MISSING;
    }

    /**
     * Returns the load from which an engine is passed over.
     *
     * @param mean mean load of the eligible engines
     * @param listedMean mean load of all engines of the service; lower while a failure domain is
     *     out of service, because its empty engines are included
     */
    double loadBound(double mean, double listedMean) {
        double eligibleBound = factor * mean + slack;
        double listedBound = listedFactor * listedMean + slack;
        double minBound = MIN_FACTOR * mean + 1;
        return Math.max(minBound, Math.min(eligibleBound, listedBound));
    }
}
