package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.time.Durations;

/**
 * Holds requests until a newly started daemon has its catalog and its targets. After a power loss
 * all callers reconnect immediately, and a rejection costs each of them its only retry.
 * Thread-safe.
 */
public final class StartGate {
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);

    /** A request waits for at most this fraction of its caller's deadline. */
    private static final int PATIENCE_DIVISOR = 4;

    private final CountDownLatch closed = new CountDownLatch(1);

    /** Admits all requests from now on. */
    public void open() {
        closed.countDown();
    }

    /**
     * Waits until the gate opens, for at most a fraction of the caller's deadline.
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
