package org.godwithoist.services;

import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;

/** Bounds the bytes of bodies that must be in memory as a whole. Thread-safe. */
final class MemoryBudget {
    private final long maxBytes;
    private final AtomicLong used = new AtomicLong();

    MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes bytes from the budget; returns false if there are not as many left. */
    boolean tryTake(long bytes) {
        if (used.addAndGet(bytes) > maxBytes) {
            used.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /**
     * Takes bytes from the budget.
     *
     * @throws RequestException if there are not as many left
     */
    void take(long bytes) {
        if (!tryTake(bytes)) {
            throw RequestException.notRun(
                    ErrorCode.NO_CAPACITY, "too many calls with a key are being received");
        }
    }

    void giveBack(long bytes) {
        used.addAndGet(-bytes);
    }
}
