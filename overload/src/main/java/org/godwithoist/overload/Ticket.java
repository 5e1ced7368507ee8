package org.godwithoist.overload;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;

/**
 * One request at the admission of its service: it waits, has a slot, is refused, or its caller has
 * left. A slot is held until {@link #close}. Decisions are made by the admission, under its lock;
 * {@link #leave()} may be called by any task, the other methods by the request's task.
 */
public final class Ticket implements AutoCloseable {
    /** A slot that nobody counts, for services whose requests are never limited. */
    static final Ticket UNLIMITED = new Ticket();

    /** State of a ticket; the last three do not change any more. */
    enum State {
        WAITING,
        GRANTED,
        REFUSED,
        LEFT
    }

    private final ServiceAdmission admission;
    private final AdmissionRequest request;
    private final long enteredAt;
    private final long waitEndsAt;
    private volatile State state;
    private volatile Thread waiter;
    private volatile CapacityRefusal refusal;
    private long grantedAt;
    private double charge;
    private boolean closed;

    private Ticket() {
        admission = null;
        request = null;
        enteredAt = 0;
        waitEndsAt = 0;
        state = State.GRANTED;
    }

    /**
     * Creates a ticket that waits.
     *
     * @param waitEndsAt time until which the request tolerates to wait
     */
    Ticket(ServiceAdmission admission, AdmissionRequest request, long enteredAt, long waitEndsAt) {
        this.admission = admission;
        this.request = request;
        this.enteredAt = enteredAt;
        this.waitEndsAt = waitEndsAt;
        state = State.WAITING;
    }

    /** Returns whether the request does not wait. */
    public boolean isDecided() {
        return state != State.WAITING;
    }

    /** Suspends the task until the request is decided. Returns whether it has a slot. */
    public boolean await() {
        if (state != State.WAITING) {
            return state == State.GRANTED;
        }
        waiter = Thread.currentThread();
        long nanos = admission.proceed(this);
        while (nanos > 0) {
            LockSupport.parkNanos(this, nanos);
            if (Thread.currentThread().isInterrupted()) {
                leave();
            }
            nanos = admission.proceed(this);
        }
        return state == State.GRANTED;
    }

    /** Returns the refusal; empty if the request was not refused. */
    public Optional<CapacityRefusal> refusal() {
        return Optional.ofNullable(refusal);
    }

    /** Ends the wait of a request whose caller has left; has no effect after the decision. */
    public void leave() {
        if (state == State.WAITING) {
            admission.leave(this);
        }
    }

    /** Records a response of a target, whose first byte came after the given time. */
    public void recordResponse(Duration firstByte) {
        if (admission != null) {
            admission.recordResponse(request, firstByte.toNanos());
        }
    }

    /** Records that a target has refused the request without running it. */
    public void recordRefusal() {
        if (admission != null) {
            admission.recordRefusal();
        }
    }

    /** Returns the slot, or the place in the queue. */
    @Override
    public void close() {
        if (admission != null && !closed) {
            closed = true;
            leave();
            if (state == State.GRANTED) {
                admission.release(this);
            }
        }
    }

    // ---- used by the admission, under its lock

    AdmissionRequest request() {
        return request;
    }

    State state() {
        return state;
    }

    long enteredAt() {
        return enteredAt;
    }

    long waitEndsAt() {
        return waitEndsAt;
    }

    long grantedAt() {
        return grantedAt;
    }

    /** Returns the slot time that was charged in advance, in seconds. */
    double charge() {
        return charge;
    }

    void grant(double slotSeconds, long now) {
        charge = slotSeconds;
        grantedAt = now;
        decide(State.GRANTED);
    }

    void refuse(CapacityRefusal because) {
        refusal = because;
        decide(State.REFUSED);
    }

    void setLeft() {
        decide(State.LEFT);
    }

    private void decide(State next) {
        state = next;
        wake();
    }

    void wake() {
        LockSupport.unpark(waiter);
    }
}
