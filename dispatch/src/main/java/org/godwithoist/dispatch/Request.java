package org.godwithoist.dispatch;

import java.time.Duration;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;

/**
 * A request that was read completely.
 *
 * @param head head of the request
 * @param body body of the request; empty if it has none
 * @param hasBody whether the caller sent a body, which may be empty
 * @param arrivedAt time at which the last byte was read, in nanoseconds of the ticker
 */
@SuppressWarnings("ArrayRecordComponent")
public record Request(RequestHead head, byte[] body, boolean hasBody, long arrivedAt) {
    /** Returns the earlier of the caller's deadline and the route's timeout. */
    Deadline deadline(Duration timeout, Ticker ticker) {
        return new Deadline(arrivedAt + head.timeLimit(timeout).toNanos(), ticker);
    }
}
