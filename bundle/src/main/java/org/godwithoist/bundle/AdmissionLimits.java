package org.godwithoist.bundle;

/**
 * Limits for the targets of a pool.
 *
 * @param skewFactor permitted load of a target as a multiple of the mean, above 1
 * @param skewFloor requests in progress that are always permitted, at least 1
 * @param coldStartLimit requests in progress at a cold target, at least 1
 * @param warmupAnswers answers at normal speed that raise a warming target's limit by one
 * @param coldFactor first-token time as a multiple of the pool's median above which a target is
 *     cold
 * @param maxConcurrent hard limit of requests in progress at one target
 * @param reservedHolders daemons that hold reserved slots of a target
 * @param reservedSlots reserved slots of each holder
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
    /** Limits used where a bundle gives none. */
    public static final AdmissionLimits DEFAULT = new AdmissionLimits(1.5, 4, 2, 2, 3.0, 16, 2, 1);

    /** Returns the reserved slots of all holders of one target. */
    public int reservedTotal() {
        return reservedHolders * reservedSlots;
    }

    /**
     * Returns the skew bound.
     *
     * @param mean mean load of the targets in service, in requests in progress
     */
    public int skewBound(double mean) {
        int multiple = (int) Math.ceil(skewFactor * mean);
        return Math.min(maxConcurrent, Math.max(skewFloor, multiple));
    }

    /** Returns a copy with another skew factor. */
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

    /** Returns a copy with another hard limit. */
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
