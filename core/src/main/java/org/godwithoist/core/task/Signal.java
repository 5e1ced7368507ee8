package org.godwithoist.core.task;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Wakes a task that waits for work. Signals that are raised while the task does not wait end its
 * next wait, all of them together. Thread-safe, for one waiting task.
 */
public final class Signal {
    private final Semaphore raised = new Semaphore(0);

    /** Ends the current wait, or the next one. */
    public void raise() {
        raised.release();
    }

    /**
     * Waits until the signal is raised, or for a time.
     *
     * @return false if the task was interrupted and should end; its interrupt status is set
     */
    public boolean await(Duration timeout) {
        try {
            if (raised.tryAcquire(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
                raised.drainPermits();
            }
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
