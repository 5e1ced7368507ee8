package org.godwithoist.accounting;

/**
 * What a target says about an attempt.
 *
 * @param state whether the work has ended
 * @param counted count of the target; {@link Usage#NONE} unless the work has ended
 */
public record TargetUsage(State state, Usage counted) {
    /** Whether the work of an attempt has ended, and what that means for the accounts. */
    public enum State {
        /** The work ended and the count is final. */
        ENDED(TakenAttempt.State.SETTLED) {
            @Override
            void settle(Ledger ledger, Attempt attempt, Usage counted) {
                ledger.close(attempt.id(), counted);
            }
        },
        /** The work goes on, so the count is not final. */
        RUNNING(TakenAttempt.State.UNSETTLED) {
            @Override
            void settle(Ledger ledger, Attempt attempt, Usage counted) {}
        },
        /**
         * The target is certain that it never ran the attempt. An engine that restarted since the
         * attempt was opened is not certain.
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

        /** Settles an attempt of the daemon itself. */
        abstract void settle(Ledger ledger, Attempt attempt, Usage counted);

        /** Returns the state of an attempt of a chain that was taken over. */
        TakenAttempt.State taken() {
            return taken;
        }
    }
}
