package org.godwithoist.relay;

import java.time.Duration;
import org.godwithoist.core.time.Ticker;

/** A period after a failure during which an operation is not retried. Thread-safe. */
public final class Cooldown {
    private final Ticker ticker;
    private boolean started;
    private long until;

    /** Creates an inactive cooldown. */
    public Cooldown(Ticker ticker) {
        this.ticker = ticker;
    }

    synchronized void start(Duration duration) {
        started = true;
        until = ticker.nanos() + duration.toNanos();
    }

    synchronized void end() {
        started = false;
    }

    synchronized boolean active() {
        started = started && until - ticker.nanos() > 0;
        return started;
    }
}
