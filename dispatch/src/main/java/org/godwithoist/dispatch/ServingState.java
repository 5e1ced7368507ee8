package org.godwithoist.dispatch;

import java.time.Duration;
import org.godwithoist.catalog.RouteKind;

/** How a daemon treats new requests. */
public enum ServingState {
    /** Serves requests and keeps connections open. */
    SERVING(true) {
        @Override
        boolean accepts(RouteKind kind, Duration longest, Duration expected, Duration remaining) {
            return true;
        }
    },
    /**
     * Serves requests and closes each connection after its next response. A stream that is expected
     * to last longer than the process is refused: it would be cut off by the exit.
     */
    DRAINING(false) {
        @Override
        boolean accepts(RouteKind kind, Duration longest, Duration expected, Duration remaining) {
            return !kind.isEventStream() || expected.compareTo(remaining) <= 0;
        }
    },
    /**
     * Serves only requests without a stream that end before the process does, even at their
     * timeout.
     */
    CLOSING(false) {
        @Override
        boolean accepts(RouteKind kind, Duration longest, Duration expected, Duration remaining) {
            return !kind.isEventStream() && longest.compareTo(remaining) <= 0;
        }
    },
    /** Refuses all requests; the process ends once those in progress are answered. */
    STOPPED(false) {
        @Override
        boolean accepts(RouteKind kind, Duration longest, Duration expected, Duration remaining) {
            return false;
        }
    };

    private final boolean keepsConnections;

    ServingState(boolean keepsConnections) {
        this.keepsConnections = keepsConnections;
    }

    /** Returns whether a connection stays open after a response. */
    public boolean keepsConnections() {
        return keepsConnections;
    }

    /**
     * Returns whether a new request is accepted.
     *
     * @param kind kind of the request's route
     * @param longest longest time until its response is complete
     * @param expected longest time that it is expected to take
     * @param remaining time until the daemon ends requests that are still in progress
     */
    abstract boolean accepts(
            RouteKind kind, Duration longest, Duration expected, Duration remaining);
}
