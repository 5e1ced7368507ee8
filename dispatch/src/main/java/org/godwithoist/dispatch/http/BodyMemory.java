package org.godwithoist.dispatch.http;

import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.RefusedException;

/** Limits the memory for request bodies that are buffered at the same time. Thread-safe. */
public final class BodyMemory {
    private final long limit;
    private final AtomicLong reserved = new AtomicLong();

    /**
     * Creates an instance with no memory in use.
     *
     * @param limit bytes for the bodies of all requests in progress
     */
    public BodyMemory(long limit) {
        this.limit = limit;
    }

    /** Memory reserved for one body; released by {@link #close}. */
    public final class Reservation implements AutoCloseable {
        private long bytes;

        private Reservation() {}

        /**
         * Reserves more bytes.
         *
         * @throws RefusedException if the limit would be exceeded
         */
        public void grow(long more) throws RefusedException {
            if (reserved.addAndGet(more) > limit) {
                reserved.addAndGet(-more);
                throw new RefusedException(
                        Refusal.NO_MEMORY,
                        "the memory limit for buffered request bodies is reached");
            }
            bytes += more;
        }

        @Override
        public void close() {
            reserved.addAndGet(-bytes);
        }
    }

    /**
     * Reserves bytes for a body.
     *
     * @throws RefusedException if the limit would be exceeded
     */
    public Reservation reserve(long bytes) throws RefusedException {
        Reservation reservation = new Reservation();
        reservation.grow(bytes);
        return reservation;
    }
}
