package org.godwithoist.core.time;

import java.time.Duration;

/**
 * The instant by which a request must be answered.
 *
 * @param atNanos instant on the given ticker, in nanoseconds
 * @param ticker clock of the instant
 */
public record Deadline(long atNanos, Ticker ticker) {
    /** Returns the deadline that lies the given time ahead. */
    public static Deadline after(Duration time, Ticker ticker) {
        return new Deadline(ticker.nanos() + time.toNanos(), ticker);
    }

    /** Returns the time left; zero if the deadline has passed. */
    public Duration left() {
        return Duration.ofNanos(Math.max(0, atNanos - ticker.nanos()));
    }

    /** Returns whether the deadline has passed. */
    public boolean passed() {
        return atNanos - ticker.nanos() <= 0;
    }

    /** Returns the smaller of the given time and the time left. */
    public Duration cap(Duration time) {
        return Durations.min(left(), time);
    }
}
