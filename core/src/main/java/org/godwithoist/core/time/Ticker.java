package org.godwithoist.core.time;

/** Source of monotonic time. It is passed as a parameter so that tests can run in virtual time. */
@FunctionalInterface
public interface Ticker {
    /** Monotonic clock of this process. */
    Ticker SYSTEM = System::nanoTime;

    /**
     * Returns the time in nanoseconds from an arbitrary origin; only differences are meaningful.
     */
    long nanos();
}
