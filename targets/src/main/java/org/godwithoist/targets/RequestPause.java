package org.godwithoist.targets;

import java.time.Duration;
import org.godwithoist.core.time.Durations;

/**
 * Time for which a target accepts no requests of this daemon, as it states with a rejection. Not
 * thread-safe.
 */
final class RequestPause {
    /** Limit of one pause, so that an absurd value does not take a target out for good. */
    static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    private boolean active;
    private long endsAt;

    /** Pauses for at least the given time; an earlier, longer pause stays in force. */
    void extend(Duration time, long now) {
        long end = now + Durations.min(time, MAX_PAUSE).toNanos();
        if (!isActive(now) || end - endsAt > 0) {
            active = true;
            endsAt = end;
        }
    }

    boolean isActive(long now) {
        active = active && endsAt - now > 0;
        return active;
    }

    /** Returns the time until the pause ends; zero if there is none. */
    Duration remaining(long now) {
        return isActive(now) ? Duration.ofNanos(endsAt - now) : Duration.ZERO;
    }
}
