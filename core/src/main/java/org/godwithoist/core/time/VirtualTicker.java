package org.godwithoist.core.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A manually advanced clock, for tests and simulations. Thread-safe. */
public final class VirtualTicker implements Ticker {
    private final AtomicLong now = new AtomicLong();

    @Override
    public long nanos() {
        return now.get();
    }

    /**
     * Advances the clock.
     *
     * @throws IllegalArgumentException if the step is negative
     */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("cannot advance by a negative duration: " + step);
        }
        now.addAndGet(step.toNanos());
    }
}
