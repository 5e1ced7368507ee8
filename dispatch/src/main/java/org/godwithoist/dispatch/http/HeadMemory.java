package org.godwithoist.dispatch.http;

import java.io.IOException;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.RefusedException;
import org.godwithoist.dispatch.RequestConstraints;

/**
 * Reserves the memory of one request's head while it is read: its characters and the objects of its
 * fields. The head of an ordinary request is part of the memory of its connection. Used by one
 * task.
 */
final class HeadMemory implements MessageReader.HeadListener, AutoCloseable {
    /** Bytes that are reserved at once, so that not each read of the head takes the lock. */
    private static final int STEP_BYTES = 8192;

    private final MemoryBudget.Reservation reservation;
    private final RequestConstraints constraints;
    private final ConnectionActivity activity;
    private long usedBytes;

    HeadMemory(MemoryBudget budget, RequestConstraints constraints, ConnectionActivity activity) {
        reservation = budget.emptyReservation(MemoryBudget.Use.HEAD, activity::hasEnded);
        this.constraints = constraints;
        this.activity = activity;
    }

    @Override
    public void received(int bytes, int lines) throws IOException {
        use(
                (long) constraints.headMemoryFactor() * bytes
                        + (long) constraints.headerFieldMemoryBytes() * lines);
    }

    /**
     * Reserves the memory of the parts of a prompt, of which a head may name thousands.
     *
     * @throws NoMemoryException if the limit would be exceeded
     */
    void holdPromptParts(int count) throws NoMemoryException {
        use((long) constraints.promptPartMemoryBytes() * count);
    }

    private void use(long bytes) throws NoMemoryException {
        usedBytes += bytes;
        long missing = usedBytes - constraints.freeHeadMemoryBytes() - reservation.bytes();
        if (missing <= 0) {
            return;
        }
        try {
            reservation.grow(Math.max(missing, STEP_BYTES));
        } catch (RefusedException e) {
            throw new NoMemoryException(e);
        }
        activity.holdHead(reservation.bytes());
    }

    @Override
    public void close() {
        activity.holdHead(0);
        reservation.close();
    }

    /** The memory for heads is in use. */
    static final class NoMemoryException extends IOException {
        private static final long serialVersionUID = 1L;

        NoMemoryException(RefusedException cause) {
            super(cause);
        }
    }
}
