package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.catalog.RouteKind;
import org.godwithoist.core.time.Deadline;

/** Service state of this daemon, and its number of requests in progress. Thread-safe. */
public final class ServingStatus {
    /** Time that a request may take beyond its timeout, until its response is complete. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(250);

    private final AtomicInteger requestsInProgress = new AtomicInteger();
    private volatile ServingState state = ServingState.SERVING;
    private volatile Optional<Deadline> end = Optional.empty();

    /** Returns the current state; it only advances. */
    public ServingState state() {
        return state;
    }

    /**
     * Starts to drain.
     *
     * @param end time at which requests that are still in progress end without their response
     */
    public void startDraining(Deadline end) {
        this.end = Optional.of(end);
        advance(ServingState.DRAINING);
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

    /**
     * Returns whether a new request is accepted.
     *
     * @param kind kind of the request's route
     * @param timeLimit time after which the request ends without its response
     * @param expected longest time that the request is expected to take
     */
    boolean accepts(RouteKind kind, Duration timeLimit, Duration expected) {
        Duration longest = timeLimit.plus(RESPONSE_MARGIN);
        Duration likely = expected.plus(RESPONSE_MARGIN);
        return state.accepts(kind, longest, likely, end.map(Deadline::remaining).orElse(longest));
    }

    /** Returns the number of requests in progress, from their first byte to their response. */
    public int requestsInProgress() {
        return requestsInProgress.get();
    }

    /**
     * Counts a request whose first byte has arrived. It has to be counted before its admission, so
     * that a stop either refuses the request or waits for it.
     */
    public void requestStarted() {
        requestsInProgress.incrementAndGet();
    }

    /** Ends the count of a request. */
    public void requestEnded() {
        requestsInProgress.decrementAndGet();
    }
}
