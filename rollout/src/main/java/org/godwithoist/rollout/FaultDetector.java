package org.godwithoist.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.godwithoist.catalog.RouteId;

/** Compares the canary with the baseline on each route and on all routes together. */
final class FaultDetector {
    /**
     * Probability from which a version is bad. Some hundred comparisons are made for an order, so
     * about one good version in a thousand would be reverted if they were independent.
     */
    static final double BAD = 3e-6;

    /** Probability from which the share is not raised until more responses are there. */
    static final double SUSPICIOUS = 0.002;

    /**
     * Probability from which a version is reverted at the deadline, and from which its share is not
     * raised when the deadline is near: no time is left for more responses.
     */
    static final double DOUBTFUL = 1e-5;

    /** Responses of the baseline in the same window below which those since the order are used. */
    private static final long MIN_BASELINE = 15;

    private FaultDetector() {}

    /** Returns the most significant fault of the canary in the windows of an observation. */
    static Optional<Fault> worst(Observation seen, Stage stage) {
        // Each step is a stratum of its own: within it, both releases got the same conditions.
        List<Evidence> steps = new ArrayList<>(seen.earlier());
        steps.add(seen.step());
        return Stream.of(steps, List.of(seen.step()), List.of(seen.recent()))
                .distinct()
                .flatMap(windows -> faults(windows, seen, stage))
                .min(Comparator.comparingDouble(Fault::pValue));
    }

    private static Stream<Fault> faults(List<Evidence> windows, Observation seen, Stage stage) {
        List<Fault> faults = new ArrayList<>();
        for (Symptom symptom : Symptom.values()) {
            List<Contingency> all = new ArrayList<>();
            for (RouteId route : seen.total().routes()) {
                List<Contingency> strata =
                        windows.stream()
                                .map(w -> table(symptom, route, w, seen, stage))
                                .filter(t -> t.canary() > 0 && t.baseline() > 0)
                                .toList();
                all.addAll(strata);
                fault(symptom, route.value(), strata).ifPresent(faults::add);
            }
            fault(symptom, "all routes", all).ifPresent(faults::add);
        }
        return faults.stream();
    }

    private static Optional<Fault> fault(Symptom symptom, String where, List<Contingency> strata) {
        Contingency sum = strata.stream().reduce(Contingency.EMPTY, Contingency::plus);
        if (sum.canaryBad() == 0 || !symptom.isRelevant(sum)) {
            return Optional.empty();
        }
        double p = Significance.pValue(strata);
        return p < SUSPICIOUS ? Optional.of(new Fault(symptom, where, sum, p)) : Optional.empty();
    }

    private static Contingency table(
            Symptom symptom, RouteId route, Evidence window, Observation seen, Stage stage) {
        Counts same = window.counts(route, Release.BASELINE);
        // At full share, a window has only the last few responses of the baseline. Earlier steps
        // keep theirs: responses that count in several strata look more certain than they are.
        boolean few = stage == Stage.FULL && !seen.earlier().contains(window);
        boolean enough = !few && same.answers() >= MIN_BASELINE;
        Counts baseline = enough ? same : seen.total().counts(route, Release.BASELINE);
        return symptom.compare(window.counts(route, Release.CANARY), baseline);
    }
}
