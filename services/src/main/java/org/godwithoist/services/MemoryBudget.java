package org.godwithoist.services;

import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;

/** Limits the total size of bodies that are fully buffered. Thread-safe. */
final class MemoryBudget {
    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes; returns false if the budget is exhausted. */
    boolean tryReserve(long bytes) {
        if (reservedBytes.addAndGet(bytes) > maxBytes) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /**
     * Reserves bytes.
     *
     * @throws RequestException if the budget is exhausted
     */
    void reserve(long bytes) {
        if (!tryReserve(bytes)) {
            throw RequestException.notRun(
                    ErrorCode.NO_CAPACITY,
                    "the memory for requests with an idempotency key is exhausted");
        }
    }

    void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
