package org.godwithoist.core.time;

import java.time.Duration;

/**
 * The time by which a request must be completed.
 *
 * @param atNanos time of the deadline on the ticker, in nanoseconds
 * @param ticker clock of {@code atNanos}
 */
public record Deadline(long atNanos, Ticker ticker) {
    /** Returns a deadline that expires after the given time. */
    public static Deadline after(Duration time, Ticker ticker) {
        return new Deadline(ticker.nanos() + time.toNanos(), ticker);
    }

    /** Returns the remaining time; zero if the deadline has expired. */
    public Duration remaining() {
        return Duration.ofNanos(Math.max(0, atNanos - ticker.nanos()));
    }

    /** Returns whether no time remains. */
    public boolean isExpired() {
        return atNanos - ticker.nanos() <= 0;
    }

    /** Returns the shorter of the given time and the remaining time. */
    public Duration cap(Duration time) {
        return Durations.min(remaining(), time);
    }
}
