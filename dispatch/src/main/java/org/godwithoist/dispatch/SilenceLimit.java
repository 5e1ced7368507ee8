package org.godwithoist.dispatch;

import java.time.Duration;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.time.Durations;

/**
 * How long a target may say nothing before a call is sent to another one. It is given up well
 * before the caller leaves, and late enough that a busy target is not taken for a silent one.
 */
final class SilenceLimit {
    private static final int LATENCY_MULTIPLE = 2;
    private static final int GAP_MULTIPLE = 4;
    private static final Duration SHORTEST = Duration.ofMillis(250);

    private SilenceLimit() {}

    static Duration of(Route route) {
        Duration first = route.targetLatency().multipliedBy(LATENCY_MULTIPLE);
        Duration gap = route.gapTarget().multipliedBy(GAP_MULTIPLE);
        return Durations.max(Durations.max(first, gap), SHORTEST);
    }
}
