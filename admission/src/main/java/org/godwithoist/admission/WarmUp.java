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
     * Number of responses whose median determines the response time of a target; a single slow
     * response is no evidence.
     */
    private static final int SPEED_SAMPLES = 5;

    private AdmissionState state = AdmissionState.COLD;
    private int grown;
    private int normalAnswers;
    private String incarnation = "";
    private final Deque<Long> recent = new ArrayDeque<>();

    AdmissionState state() {
        return state;
    }

    /** Returns the limit reached by warm-up; 0 if the target is cold or not in service. */
    int grown() {
        return state.inService() && state != AdmissionState.COLD ? grown : 0;
    }

    String incarnation() {
        return incarnation;
    }

    int limit(AdmissionLimits limits) {
        return state.limit(limits, grown);
    }

    void service(ServiceState service) {
        AdmissionState next = state.under(service);
        if (next == AdmissionState.COLD && state != AdmissionState.COLD) {
            cool();
        }
        state = next;
    }

    void load(TargetLoadReport load) {
        boolean restarted = !incarnation.isEmpty() && !incarnation.equals(load.incarnation());
        incarnation = load.incarnation();
        if (restarted || !load.modelLoaded()) {
            cool();
        }
    }

    /** Adopts the warm-up limit of an earlier owner if it is from the same run of the target. */
    void inherit(String ofIncarnation, int grownBefore, AdmissionLimits limits) {
        boolean same = !incarnation.isEmpty() && incarnation.equals(ofIncarnation);
        if (state == AdmissionState.COLD && same && grownBefore > grown) {
            grown = grownBefore;
            state = state.afterGrowth(limits, grown);
        }
    }

    /**
     * Records a response.
     *
     * @param firstToken time to the first token in nanoseconds
     * @param median median of the shard in nanoseconds; empty if unknown
     */
    void answer(long firstToken, OptionalLong median, AdmissionLimits limits) {
        recent.addLast(firstToken);
        if (recent.size() > SPEED_SAMPLES) {
            recent.removeFirst();
        }
        double slowest = median.isPresent() ? limits.coldFactor() * median.getAsLong() : 0;
        boolean known = median.isPresent();
        if (known && recent.size() == SPEED_SAMPLES && ownMedian() > slowest) {
            cool();
            return;
        }
        if (!state.inService() || (known && firstToken > slowest)) {
            return;
        }
        normalAnswers++;
        if (normalAnswers >= limits.warmupAnswers()) {
            normalAnswers = 0;
            grown = Math.max(grown, limits.coldStartLimit()) + 1;
            state = state.afterGrowth(limits, grown);
        }
    }

    private long ownMedian() {
        return recent.stream().sorted().skip(SPEED_SAMPLES / 2).findFirst().orElseThrow();
    }

    private void cool() {
        if (state.inService()) {
            state = AdmissionState.COLD;
        }
        grown = 0;
        normalAnswers = 0;
        recent.clear();
    }
}
