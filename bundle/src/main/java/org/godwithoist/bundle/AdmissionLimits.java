package org.godwithoist.bundle;

/**
 * Admission limits for each target of a pool.
 *
 * @param skewFactor maximum load of a target as a multiple of the mean load, above 1
 * @param skewFloor number of requests in progress permitted at any mean load, at least 1
 * @param coldStartLimit maximum number of requests in progress at a cold target, at least 1
 * @param warmupAnswers responses at normal speed that raise a warming target's limit by one
 * @param coldFactor first-token time as a multiple of the pool's median above which a target is
 *     cold
 * @param maxConcurrent hard limit of requests in progress at one target
 * @param reservedHolders number of daemons that hold reserved slots of a target
 * @param reservedSlots reserved slots per slot holder
 */
public record AdmissionLimits(
        double skewFactor,
        int skewFloor,
        int coldStartLimit,
        int warmupAnswers,
        double coldFactor,
        int maxConcurrent,
        int reservedHolders,
        int reservedSlots) {
    /** Defaults for limits that a bundle omits. */
    public static final AdmissionLimits DEFAULT = new AdmissionLimits(1.5, 4, 2, 2, 3.0, 16, 2, 1);

    /** Returns the number of reserved slots of one target over all slot holders. */
    public int reservedTotal() {
        return reservedHolders * reservedSlots;
    }

    /**
     * Returns the maximum load of one target in requests in progress.
     *
     * @param mean mean load of the targets in service in requests in progress
     */
    public int skewBound(double mean) {
        int multiple = (int) Math.ceil(skewFactor * mean);
        return Math.min(maxConcurrent, Math.max(skewFloor, multiple));
    }

    /** Returns a copy with the given skew factor, which is not validated. */
    public AdmissionLimits withSkewFactor(double factor) {
        return new AdmissionLimits(
                factor,
                skewFloor,
                coldStartLimit,
                warmupAnswers,
                coldFactor,
                maxConcurrent,
                reservedHolders,
                reservedSlots);
    }

    /** Returns a copy with the given hard limit, which is not validated. */
    public AdmissionLimits withMaxConcurrent(int limit) {
        return new AdmissionLimits(
                skewFactor,
                skewFloor,
                coldStartLimit,
                warmupAnswers,
                coldFactor,
                limit,
                reservedHolders,
                reservedSlots);
    }
}
