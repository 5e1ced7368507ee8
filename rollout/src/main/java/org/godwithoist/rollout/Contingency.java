package org.godwithoist.rollout;

/**
 * Bad responses of the canary and of the baseline under the same conditions.
 *
 * @param canaryBad bad responses of the canary
 * @param canary responses of the canary
 * @param baselineBad bad responses of the baseline
 * @param baseline responses of the baseline
 */
record Contingency(long canaryBad, long canary, long baselineBad, long baseline) {
    static final Contingency EMPTY = new Contingency(0, 0, 0, 0);

    Contingency plus(Contingency other) {
        return new Contingency(
                canaryBad + other.canaryBad,
                canary + other.canary,
                baselineBad + other.baselineBad,
                baseline + other.baseline);
    }

    /** Returns the difference of the proportions; 0 without responses of one of them. */
    double difference() {
        if (canary == 0 || baseline == 0) {
            return 0;
        }
        return (double) canaryBad / canary - (double) baselineBad / baseline;
    }
}
