package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.time.Durations;

/**
 * Holds requests until a newly started daemon has its catalog and its targets. After a power loss
 * all callers reconnect immediately, and a refusal costs each of them its only retry. Thread-safe.
 */
public final class StartupGate {
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    /** A request waits for at most this fraction of its caller's timeout. */
    private static final int CALLER_TIMEOUT_DIVISOR = 4;

    private final CountDownLatch opened = new CountDownLatch(1);

    /** Admits all requests from now on. */
    public void open() {
        opened.countDown();
    }

    /**
     * Waits until the gate opens, for at most a fraction of the caller's timeout.
     *
     * @return whether the gate is open
     */
    boolean awaitOpen(RequestHead head) {
        if (opened.getCount() == 0) {
            return true;
        }
        Duration fraction = head.callerTimeout().orElse(MAX_WAIT).dividedBy(CALLER_TIMEOUT_DIVISOR);
        Duration wait = Durations.min(fraction, MAX_WAIT);
        try {
            return opened.await(wait.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
