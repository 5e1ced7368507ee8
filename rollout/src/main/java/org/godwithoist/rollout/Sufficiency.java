package org.godwithoist.rollout;

import java.util.Optional;
import org.godwithoist.catalog.RouteId;

/** Decides whether a trial has seen enough on each route that has traffic. */
final class Sufficiency {
    private static final long MIN_ANSWERS = 30;

    /** Answers without which no version passes a trial, however little time is left. */
    private static final long MIN_ANSWERS_LATE = 10;

    /** A fault of half of the responses shows in 12 of them. */
    private static final long MIN_ROUTE_ANSWERS = 12;

    /** A route with less of the traffic is judged together with the others only. */
    private static final double MIN_ROUTE_TRAFFIC = 0.005;

    /** Part of a route's answers that suffices on a route with little traffic. */
    private static final double ROUTE_PART = 0.2;

    /**
     * Returns what is missing; empty if the evidence suffices.
     *
     * @param late whether the deadline would be missed by waiting for routes with little traffic
     */
    Optional<String> missing(Evidence total, boolean late) {
        long answers = total.total(Release.CANARY).answers();
        long needed = late ? MIN_ANSWERS_LATE : MIN_ANSWERS;
        if (answers < needed) {
            return Optional.of("trial: " + answers + " of " + needed + " answers");
        }
        return late ? Optional.empty() : missingOnRoute(total);
    }

    private static Optional<String> missingOnRoute(Evidence total) {
        for (RouteId route : total.routes()) {
            boolean counts = total.sent(route) >= MIN_ROUTE_TRAFFIC * total.sent();
            long answers = total.counts(route, Release.CANARY).answers();
            long all = answers + total.counts(route, Release.BASELINE).answers();
            long needed = (long) Math.min(MIN_ROUTE_ANSWERS, Math.ceil(ROUTE_PART * all));
            if (counts && answers < needed) {
                return Optional.of("trial: " + answers + " of " + needed + " answers on " + route);
            }
        }
        return Optional.empty();
    }
}
