package org.godwithoist.core.time;

/**
 * Source of monotonic time. Decisions take it as a parameter so that tests drive them in virtual
 * time.
 */
@FunctionalInterface
public interface Ticker {
    /** The clock of this process, in nanoseconds. */
    Ticker SYSTEM = System::nanoTime;

    /** Returns monotonic time in nanoseconds; only differences have a meaning. */
    long nanos();
}
