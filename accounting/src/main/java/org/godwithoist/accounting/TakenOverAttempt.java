package org.godwithoist.accounting;

/**
 * Attempt that was open when another daemon took over its chain.
 *
 * @param attempt attempt of the chain's daemon
 * @param state settlement state known to the new owner
 */
public record TakenOverAttempt(Attempt attempt, State state) {
    /** Settlement state of an attempt known to the new owner of its chain. */
    public enum State {
        /** The target has not reported its count yet. */
        UNSETTLED(true),
        /** The totals of the row include the count. */
        SETTLED(false),
        /**
         * The target did not run the attempt. A daemon that was only paused may still send it, and
         * counts it itself after reclaiming its chain.
         */
        NOT_RUN(true);

        private final boolean missingFromTotals;

        State(boolean missingFromTotals) {
            this.missingFromTotals = missingFromTotals;
        }

        /** Returns whether a count known to the daemon itself is missing from the totals. */
        public boolean missingFromTotals() {
            return missingFromTotals;
        }
    }

    TakenOverAttempt withState(State newState) {
        return new TakenOverAttempt(attempt, newState);
    }
}
