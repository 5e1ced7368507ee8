package org.godwithoist.dispatch;

import java.time.Duration;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.time.Durations;

/**
 * Time without a byte of the response after which a request is sent to another target. It ends well
 * before the caller's deadline, and is long enough that a busy target is not mistaken for an
 * unresponsive one.
 */
final class ResponseTimeout {
    private static final int TARGET_LATENCY_FACTOR = 2;
    private static final int GAP_TARGET_FACTOR = 4;
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(250);

    private ResponseTimeout() {}

    static Duration of(Route route) {
        Duration firstByte = route.targetLatency().multipliedBy(TARGET_LATENCY_FACTOR);
        Duration gap = route.gapTarget().multipliedBy(GAP_TARGET_FACTOR);
        return Durations.max(Durations.max(firstByte, gap), MIN_TIMEOUT);
    }
}
