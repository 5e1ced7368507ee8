package org.godwithoist.targets;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.time.Durations;

/**
 * Time for which a target accepts no requests of this daemon, as it states with a rejection.
 * Changed by one thread at a time, and read by any.
 */
final class RequestPause {
    /** Limit of one pause, so that an absurd value does not take a target out for good. */
    static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    private record Pause(long endsAt) {}

    private volatile Optional<Pause> last = Optional.empty();

    /** Pauses for at least the given time; an earlier, longer pause stays in force. */
    void extend(Duration time, long now) {
        long end = now + Durations.min(time, MAX_PAUSE).toNanos();
        if (!isActive(now) || end - last.get().endsAt() > 0) {
            last = Optional.of(new Pause(end));
        }
    }

    boolean isActive(long now) {
        Optional<Pause> current = last;
        return current.isPresent() && current.get().endsAt() - now > 0;
    }

    /** Returns the time until the pause ends; zero if there is none. */
    Duration remaining(long now) {
        return isActive(now) ? Duration.ofNanos(last.get().endsAt() - now) : Duration.ZERO;
    }
}
