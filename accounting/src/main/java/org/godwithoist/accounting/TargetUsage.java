package org.godwithoist.accounting;

/**
 * Usage of an attempt as reported by its target.
 *
 * @param state whether the attempt has ended
 * @param usage usage counted by the target; {@link Usage#NONE} unless the attempt has ended
 */
public record TargetUsage(State state, Usage usage) {
    /** Execution state of an attempt and its effect on settlement. */
    public enum State {
        /** The attempt has ended and the count is final. */
        ENDED(TakenOverAttempt.State.SETTLED) {
            @Override
            void settle(Ledger ledger, Attempt attempt, Usage usage) {
                ledger.close(attempt.id(), usage);
            }
        },
        /** The attempt is still running, so the count is not final. */
        RUNNING(TakenOverAttempt.State.UNSETTLED) {
            @Override
            void settle(Ledger ledger, Attempt attempt, Usage usage) {}
        },
        /**
         * The target certainly never ran the attempt. An engine that restarted after the attempt
         * was opened cannot report this.
         */
        NOT_RUN(TakenOverAttempt.State.NOT_RUN) {
            @Override
            void settle(Ledger ledger, Attempt attempt, Usage usage) {
                ledger.cancel(attempt.id());
            }
        };

        private final TakenOverAttempt.State takenOverState;

        State(TakenOverAttempt.State takenOverState) {
            this.takenOverState = takenOverState;
        }

        /** Updates the ledger for an attempt of this daemon. */
        abstract void settle(Ledger ledger, Attempt attempt, Usage usage);

        /** Returns the corresponding state for an attempt of a taken-over chain. */
        TakenOverAttempt.State takenOverState() {
            return takenOverState;
        }
    }
}
