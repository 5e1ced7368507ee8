package org.godwithoist.accounting;

/**
 * An attempt that was open when another daemon took over its chain.
 *
 * @param attempt the attempt
 * @param state what the new owner knows about it
 */
public record TakenAttempt(Attempt attempt, State state) {
    /** What the new owner of a chain knows about an attempt. */
    public enum State {
        /** The target has not told its count yet. */
        UNSETTLED(true),
        /** The totals of the row contain the count. */
        SETTLED(false),
        /**
         * The target did not run the attempt. A daemon that was only paused may send it later, so
         * it counts the attempt itself after it has taken its chain back.
         */
        NOT_RUN(true);

        private final boolean countedByDaemon;

        State(boolean countedByDaemon) {
            this.countedByDaemon = countedByDaemon;
        }

        /** Returns whether a count that the daemon itself has is missing in the totals. */
        public boolean countedByDaemon() {
            return countedByDaemon;
        }
    }

    /** Returns the attempt with another state. */
    TakenAttempt withState(State newState) {
        return new TakenAttempt(attempt, newState);
    }
}
