package org.godwithoist.dispatch;

import java.util.concurrent.atomic.AtomicInteger;

/** Service state of this daemon, and its number of requests in progress. Thread-safe. */
public final class ServingStatus {
    private final AtomicInteger requestsInProgress = new AtomicInteger();
    private volatile ServingState state = ServingState.SERVING;

    /** Returns the current state; it only advances. */
    public ServingState state() {
        return state;
    }

    /**
     * Advances to a later state. A call with an earlier state has no effect: a daemon that drains
     * does not resume service.
     */
    public synchronized void advance(ServingState next) {
        if (next.compareTo(state) > 0) {
            state = next;
        }
    }

    /** Returns the number of requests in progress. */
    public int requestsInProgress() {
        return requestsInProgress.get();
    }

    void requestStarted() {
        requestsInProgress.incrementAndGet();
    }

    void requestEnded() {
        requestsInProgress.decrementAndGet();
    }
}
