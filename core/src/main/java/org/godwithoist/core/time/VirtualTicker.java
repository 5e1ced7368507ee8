package org.godwithoist.core.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that moves only when it is told to. */
public final class VirtualTicker implements Ticker {
    private final AtomicLong now = new AtomicLong();

    @Override
    public long nanos() {
        return now.get();
    }

    /** Moves the clock forward. */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("time cannot go back by " + step);
        }
        now.addAndGet(step.toNanos());
    }
}
