package org.godwithoist.rollout;

import java.util.List;

/**
 * Fisher's exact test over one or more strata: the probability that the canary has at least as many
 * bad responses if both releases are equally good. It stays exact for the few responses of a small
 * share, where a normal approximation gives false alarms.
 */
final class Significance {
    /**
     * Largest count of the canary's bad responses that is computed exactly. Beyond it, the variance
     * is so large that the normal approximation is close, and cheaper.
     */
    private static final long MAX_EXACT_BAD = 150;

    private static final int FACTORIALS = 4_096;
    private static final double[] LN_FACTORIAL = lnFactorials();

    private Significance() {}

    /** Returns the one-sided probability; 1 without bad responses of the canary. */
    static double pValue(List<Contingency> strata) {
        long bad = strata.stream().mapToLong(Contingency::canaryBad).sum();
        if (bad == 0) {
            return 1;
        }
        long most =
                strata.stream()
                        .mapToLong(s -> Math.min(s.canary(), s.canaryBad() + s.baselineBad()))
                        .sum();
        return most <= MAX_EXACT_BAD ? exact(strata, bad) : approximate(strata, bad);
    }

    private static double exact(List<Contingency> strata, long bad) {
        double[] sum = {1};
        for (Contingency stratum : strata) {
            sum = convolved(sum, distribution(stratum));
        }
        double tail = 0;
        for (int k = sum.length - 1; k >= bad; k--) {
            tail += sum[k];
        }
        return Math.min(1, tail);
    }

    private static double approximate(List<Contingency> strata, long bad) {
        double mean = 0;
        double variance = 0;
        for (Contingency s : strata) {
            double all = s.canary() + s.baseline();
            double allBad = s.canaryBad() + s.baselineBad();
            if (all > 1) {
                mean += s.canary() * allBad / all;
                variance +=
                        s.canary()
                                * s.baseline()
                                * allBad
                                * (all - allBad)
                                / (all * all * (all - 1));
            }
        }
        if (variance == 0) {
            return 1;
        }
        return normalTail((bad - 0.5 - mean) / Math.sqrt(variance));
    }

    /** Returns the hypergeometric distribution of the canary's bad responses. */
    private static double[] distribution(Contingency s) {
        long allBad = s.canaryBad() + s.baselineBad();
        long all = s.canary() + s.baseline();
        int max = (int) Math.min(allBad, s.canary());
        double[] result = new double[max + 1];
        double lnAll = lnChoose(all, allBad);
        for (int k = (int) Math.max(0, allBad - s.baseline()); k <= max; k++) {
            result[k] =
                    Math.exp(lnChoose(s.canary(), k) + lnChoose(s.baseline(), allBad - k) - lnAll);
        }
        return result;
    }

    private static double[] convolved(double[] a, double[] b) {
        double[] result = new double[a.length + b.length - 1];
        for (int i = 0; i < a.length; i++) {
            for (int j = 0; j < b.length; j++) {
                result[i + j] += a[i] * b[j];
            }
        }
        return result;
    }

    /** Returns the upper tail of the normal distribution, from its bounds by Chernoff. */
    private static double normalTail(double z) {
        return z <= 0 ? 1 : Math.min(1, Math.exp(-z * z / 2) / (1 + z));
    }

    private static double lnChoose(long n, long k) {
        return lnFactorial(n) - lnFactorial(k) - lnFactorial(n - k);
    }

    private static double lnFactorial(long n) {
        if (n < FACTORIALS) {
            return LN_FACTORIAL[(int) n];
        }
        // Stirling's series; the error is below 1e-12 from here on.
        double x = n;
        return x * Math.log(x) - x + 0.5 * Math.log(2 * Math.PI * x) + 1 / (12 * x);
    }

    private static double[] lnFactorials() {
        double[] result = new double[FACTORIALS];
        for (int n = 2; n < FACTORIALS; n++) {
            result[n] = result[n - 1] + Math.log(n);
        }
        return result;
    }
}
