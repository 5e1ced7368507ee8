package org.godwithoist.overload;

import java.time.Duration;

/**
 * Refusal of a request that no target has received.
 *
 * @param reason why the request was refused
 * @param retryAfter delay after which the caller may return
 */
public record CapacityRefusal(Reason reason, Duration retryAfter) {
    /** Why a request is refused. */
    public enum Reason {
        /** On its arrival, the expected wait was longer than the request tolerates. */
        WAIT_TOO_LONG,
        /** Requests that came before it in the order made its wait too long. */
        OVERTAKEN,
        /** It has waited as long as it tolerates. */
        WAITED,
        /** As many requests wait as may. */
        QUEUE_FULL
    }
}
