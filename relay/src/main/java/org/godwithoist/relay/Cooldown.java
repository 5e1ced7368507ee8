package org.godwithoist.relay;

import java.time.Duration;
import org.godwithoist.core.time.Ticker;

/** A span during which something is not tried again. Used by one task. */
final class Cooldown {
    private final Ticker ticker;
    private boolean started;
    private long until;

    Cooldown(Ticker ticker) {
        this.ticker = ticker;
    }

    void start(Duration time) {
        started = true;
        until = ticker.nanos() + time.toNanos();
    }

    void end() {
        started = false;
    }

    boolean active() {
        started = started && until - ticker.nanos() > 0;
        return started;
    }
}
