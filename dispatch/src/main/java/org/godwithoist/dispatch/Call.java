package org.godwithoist.dispatch;

import java.time.Duration;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;

/**
 * A call that was read whole.
 *
 * @param head what the call asks for
 * @param body its body; empty if it has none
 * @param hasBody whether the caller sent a body, which may be empty
 * @param arrivedAt instant at which its last byte was read, in nanoseconds of the ticker
 */
@SuppressWarnings("ArrayRecordComponent")
public record Call(CallHead head, byte[] body, boolean hasBody, long arrivedAt) {
    /** Returns the instant by which the call must be answered, given its route's time-out. */
    Deadline deadline(Duration timeout, Ticker ticker) {
        Duration wait = Durations.min(head.patience().orElse(timeout), timeout);
        return new Deadline(arrivedAt + wait.toNanos(), ticker);
    }
}
