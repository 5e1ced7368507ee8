package org.godwithoist.accounting;

/**
 * Usage of an attempt as reported by its target.
 *
 * @param state whether the attempt has ended
 * @param counted usage counted by the target; {@link Usage#NONE} unless the attempt has ended
 */
public record TargetUsage(State state, Usage counted) {
    /** Execution state of an attempt and its effect on settlement. */
    public enum State {
        /** The attempt has ended and the count is final. */
        ENDED(TakenAttempt.State.SETTLED) {
            @Override
            void settle(Ledger ledger, Attempt attempt, Usage counted) {
                ledger.close(attempt.id(), counted);
            }
        },
        /** The attempt is still running, so the count is not final. */
        RUNNING(TakenAttempt.State.UNSETTLED) {
            @Override
            void settle(Ledger ledger, Attempt attempt, Usage counted) {}
        },
        /**
         * The target certainly never ran the attempt. An engine that restarted after the attempt
         * was opened cannot report this.
         */
        NOT_RUN(TakenAttempt.State.NOT_RUN) {
            @Override
            void settle(Ledger ledger, Attempt attempt, Usage counted) {
                ledger.cancel(attempt.id());
            }
        };

        private final TakenAttempt.State taken;

        State(TakenAttempt.State taken) {
            this.taken = taken;
        }

        /** Updates the ledger for an attempt of this daemon. */
        abstract void settle(Ledger ledger, Attempt attempt, Usage counted);

        /** Returns the corresponding state for an attempt of a taken over chain. */
        TakenAttempt.State taken() {
            return taken;
        }
    }
}
