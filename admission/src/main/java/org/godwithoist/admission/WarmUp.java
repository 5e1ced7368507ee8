package org.godwithoist.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.membership.ServiceState;

/**
 * Admission state of one target, updated by responses, load reports and service states. Not
 * thread-safe.
 */
final class WarmUp {
    /**
     * Number of responses whose median is compared with the normal response time; a single slow
     * response must not make a target cold.
     */
    private static final int MEDIAN_SAMPLES = 5;

    private AdmissionState state = AdmissionState.COLD;
    private int warmUpLimit;
    private int normalResponses;
    private String incarnation = "";
    private final Deque<Long> recentLatencies = new ArrayDeque<>();

    AdmissionState state() {
        return state;
    }

    /** Returns the limit reached by warm-up; 0 if the target is cold or not in service. */
    int warmUpLimit() {
        return state.inService() && state != AdmissionState.COLD ? warmUpLimit : 0;
    }

    String incarnation() {
        return incarnation;
    }

    int limit(AdmissionLimits limits) {
        return state.limit(limits, warmUpLimit);
    }

    void applyServiceState(ServiceState service) {
        AdmissionState next = state.withServiceState(service);
        if (next == AdmissionState.COLD && state != AdmissionState.COLD) {
            resetToCold();
        }
        state = next;
    }

    void applyLoadReport(TargetLoadReport load) {
        boolean restarted = !incarnation.isEmpty() && !incarnation.equals(load.incarnation());
        incarnation = load.incarnation();
        if (restarted || !load.modelLoaded()) {
            resetToCold();
        }
    }

    /** Adopts the warm-up limit of an earlier owner if it is from the same run of the target. */
    void inherit(String reportedIncarnation, int previousLimit, AdmissionLimits limits) {
        boolean same = !incarnation.isEmpty() && incarnation.equals(reportedIncarnation);
        if (state == AdmissionState.COLD && same && previousLimit > warmUpLimit) {
            warmUpLimit = previousLimit;
            state = state.afterGrowth(limits, warmUpLimit);
        }
    }

    /**
     * Records a response.
     *
     * @param timeToFirstToken time to the first token in nanoseconds
     * @param median median of the shard in nanoseconds; empty if unknown
     */
    void recordResponse(long timeToFirstToken, OptionalLong median, AdmissionLimits limits) {
        recentLatencies.addLast(timeToFirstToken);
        if (recentLatencies.size() > MEDIAN_SAMPLES) {
            recentLatencies.removeFirst();
        }
        double slowThreshold = median.isPresent() ? limits.coldFactor() * median.getAsLong() : 0;
        boolean medianKnown = median.isPresent();
        if (medianKnown
                && recentLatencies.size() == MEDIAN_SAMPLES
                && ownMedian() > slowThreshold) {
            resetToCold();
            return;
        }
        if (!state.inService() || (medianKnown && timeToFirstToken > slowThreshold)) {
            return;
        }
        normalResponses++;
        if (normalResponses >= limits.warmupAnswers()) {
            normalResponses = 0;
            warmUpLimit = Math.max(warmUpLimit, limits.coldStartLimit()) + 1;
            state = state.afterGrowth(limits, warmUpLimit);
        }
    }

    private long ownMedian() {
        return recentLatencies.stream().sorted().skip(MEDIAN_SAMPLES / 2).findFirst().orElseThrow();
    }

    private void resetToCold() {
        if (state.inService()) {
            state = AdmissionState.COLD;
        }
        warmUpLimit = 0;
        normalResponses = 0;
        recentLatencies.clear();
    }
}
