package org.godwithoist.targets;

import java.time.Duration;

/**
 * Memory of a fault that a target was seen to have, such as responses that nobody waits for. The
 * target is expected to have it again for a time, which doubles whenever it does so after that
 * time. Not thread-safe.
 */
final class RecurringFault {
    private static final long MIN_MEMORY_NANOS = Duration.ofSeconds(15).toNanos();
    private static final long MAX_MEMORY_NANOS = Duration.ofMinutes(10).toNanos();

    private boolean active;
    private long endsAt;
    private long memoryNanos = MIN_MEMORY_NANOS;
    private boolean seenBefore;

    /** Records that the target has shown the fault. */
    void record(long now) {
        if (isExpected(now)) {
            return;
        }
        if (seenBefore) {
            memoryNanos = Math.min(MAX_MEMORY_NANOS, memoryNanos * 2);
        }
        seenBefore = true;
        active = true;
        endsAt = now + memoryNanos;
    }

    /** Returns whether the target is expected to show the fault again. */
    boolean isExpected(long now) {
        active = active && endsAt - now > 0;
        return active;
    }
}
