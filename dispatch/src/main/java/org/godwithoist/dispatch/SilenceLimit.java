package org.godwithoist.dispatch;

import java.time.Duration;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.time.Durations;

/**
 * Time without a byte of the response after which a request is sent to another target. It ends well
 * before the caller's deadline, and is long enough that a busy target is not mistaken for an
 * unresponsive one.
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
