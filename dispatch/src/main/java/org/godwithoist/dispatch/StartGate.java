package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.time.Durations;

/**
 * Holds calls until a daemon that has just started knows its catalog and its targets. After a power
 * loss callers come back at once, and a refusal costs each of them the only retry that it has.
 * Thread-safe.
 */
public final class StartGate {
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);

    /** A call waits for at most this part of its caller's patience. */
    private static final int PATIENCE_DIVISOR = 4;

    private final CountDownLatch closed = new CountDownLatch(1);

    /** Lets all calls pass from now on. */
    public void open() {
        closed.countDown();
    }

    /**
     * Waits until the gate opens, for a part of the caller's patience.
     *
     * @return whether the gate is open
     */
    boolean pass(CallHead head) {
        if (closed.getCount() == 0) {
            return true;
        }
        Duration part = head.patience().orElse(LONGEST_WAIT).dividedBy(PATIENCE_DIVISOR);
        Duration wait = Durations.min(part, LONGEST_WAIT);
        try {
            return closed.await(wait.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
