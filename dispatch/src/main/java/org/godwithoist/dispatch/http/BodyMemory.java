package org.godwithoist.dispatch.http;

import java.util.OptionalInt;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.RefusedException;
import org.godwithoist.dispatch.RequestConstraints;

/**
 * Reserves the memory of one request's body while it arrives. An announcement alone reserves
 * nothing. A small body is reserved completely with its first byte, so that it does not stop
 * half-way; a large one holds at most twice what has arrived. Used by one task.
 */
final class BodyMemory implements AutoCloseable {
    /** Bytes of a body of unknown size that are reserved at once. */
    private static final int STEP_BYTES = 16_384;

    /** Bytes that a large body of known size may hold for each byte that has arrived. */
    private static final int GROWTH_FACTOR = 2;

    private final MemoryBudget.Reservation reservation;
    private final RequestConstraints constraints;
    private final ConnectionActivity activity;
    private final OptionalInt announced;
    private boolean isLarge;

    /**
     * Creates an instance that has reserved nothing.
     *
     * @param announced announced size of the body; empty if it is sent in chunks
     */
    BodyMemory(
            MemoryBudget budget,
            RequestConstraints constraints,
            ConnectionActivity activity,
            OptionalInt announced) {
        this.constraints = constraints;
        this.activity = activity;
        this.announced = announced;
        isLarge = announced.orElse(0) > constraints.smallBodyBytes();
        reservation =
                budget.emptyReservation(
                        isLarge ? MemoryBudget.Use.LARGE_BODY : MemoryBudget.Use.BODY,
                        activity::hasEnded);
    }

    /**
     * Reserves memory for what has arrived.
     *
     * @param size bytes of the body that have arrived
     * @throws RefusedException if the limit would be exceeded
     */
    void arrived(int size) throws RefusedException {
        long missing = size + constraints.receiveBufferBytes() - reservation.bytes();
        if (missing <= 0) {
            return;
        }
        // A request that waits for memory does not wait for its caller.
        activity.enter(ConnectionActivity.Phase.OTHER);
        long wanted = wanted(size) + constraints.receiveBufferBytes() - reservation.bytes();
        if (!isLarge && size > constraints.smallBodyBytes()) {
            isLarge = true;
            reservation.growAs(MemoryBudget.Use.LARGE_BODY, wanted);
        } else {
            reservation.grow(wanted);
        }
        activity.holdBody(reservation.bytes());
        activity.permitLargeReads(true);
        activity.enter(ConnectionActivity.Phase.RECEIVING);
    }

    private long wanted(int size) {
        if (announced.isEmpty()) {
            return (long) size + STEP_BYTES;
        }
        long ahead = Math.max(constraints.smallBodyBytes(), (long) GROWTH_FACTOR * size);
        return Math.min(announced.getAsInt(), ahead);
    }

    /** Releases what is not needed once the body is complete. */
    void completed(int size) {
        activity.permitLargeReads(false);
        reservation.shrinkTo(Math.min(size, reservation.bytes()));
        activity.holdBody(reservation.bytes());
    }

    @Override
    public void close() {
        activity.permitLargeReads(false);
        activity.holdBody(0);
        reservation.close();
    }
}
