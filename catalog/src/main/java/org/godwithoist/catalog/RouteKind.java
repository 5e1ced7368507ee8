package org.godwithoist.catalog;

/** Whether requests of a route may run more than once. */
public enum RouteKind {
    /** Running a request again has no further effect. */
    IDEMPOTENT {
        @Override
        public boolean allowsReexecution(boolean resumable) {
            return true;
        }
    },
    /** A request runs at most once for each attempt of the caller, who alone may retry it. */
    NON_IDEMPOTENT {
        @Override
        public boolean allowsReexecution(boolean resumable) {
            return false;
        }
    },
    /** The response is an event stream; a request may run again only if the stream is resumable. */
    STREAMING {
        @Override
        public boolean allowsReexecution(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean isEventStream() {
            return true;
        }
    };

    /**
     * Returns whether a request that may have run can be sent to a target again.
     *
     * @param resumable whether another target may continue an interrupted stream of the route
     */
    public abstract boolean allowsReexecution(boolean resumable);

    /** Returns whether responses are event streams. */
    public boolean isEventStream() {
        return false;
    }
}
