package org.godwithoist.rollout;

import java.util.Locale;

/**
 * A difference between canary and baseline that speaks against the canary.
 *
 * @param symptom how the canary is worse
 * @param where route, or all routes
 * @param table responses that were compared
 * @param pValue probability of the difference if both releases are equally good
 */
record Fault(Symptom symptom, String where, Contingency table, double pValue) {
    /** Returns whether it suffices to revert the canary. */
    boolean isProven() {
        return pValue < FaultDetector.BAD;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s on %s: %d of %d, baseline %d of %d, p=%.1e",
                symptom.name().toLowerCase(Locale.ROOT),
                where,
                table.canaryBad(),
                table.canary(),
                table.baselineBad(),
                table.baseline(),
                pValue);
    }
}
