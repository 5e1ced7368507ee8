package org.godwithoist.relay;

import java.time.Duration;
import org.godwithoist.core.time.Ticker;

/** A span during which something is not tried again. Thread-safe. */
public final class Cooldown {
    private final Ticker ticker;
    private boolean started;
    private long until;

    /** Makes a span that has not started. */
    public Cooldown(Ticker ticker) {
        this.ticker = ticker;
    }

    synchronized void start(Duration time) {
        started = true;
        until = ticker.nanos() + time.toNanos();
    }

    synchronized void end() {
        started = false;
    }

    synchronized boolean active() {
        started = started && until - ticker.nanos() > 0;
        return started;
    }
}
