package org.godwithoist.dispatch.http;

import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.RefusedException;

/** Limits the memory for request bodies that are buffered at the same time. Thread-safe. */
public final class BodyMemory {
    private final long limit;
    private final AtomicLong used = new AtomicLong();

    /**
     * Creates an instance with no memory in use.
     *
     * @param limit bytes for the bodies of all requests in progress
     */
    public BodyMemory(long limit) {
        this.limit = limit;
    }

    /** Memory reserved for one body; released by {@link #close}. */
    public final class Lease implements AutoCloseable {
        private long bytes;

        private Lease() {}

        /**
         * Reserves more bytes.
         *
         * @throws RefusedException if the limit would be exceeded
         */
        public void grow(long more) throws RefusedException {
            if (used.addAndGet(more) > limit) {
                used.addAndGet(-more);
                throw new RefusedException(Refusal.NO_MEMORY, "bodies use their memory");
            }
            bytes += more;
        }

        @Override
        public void close() {
            used.addAndGet(-bytes);
        }
    }

    /**
     * Reserves bytes for a body.
     *
     * @throws RefusedException if the limit would be exceeded
     */
    public Lease take(long bytes) throws RefusedException {
        Lease lease = new Lease();
        lease.grow(bytes);
        return lease;
    }
}
