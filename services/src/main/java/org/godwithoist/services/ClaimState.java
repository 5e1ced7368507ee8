package org.godwithoist.services;

import java.util.Optional;

/** State of an idempotency key. Only {@link #FREE} permits a new attempt. */
public enum ClaimState {
    /** No claim exists; there is no row. */
    FREE(Verdict.RUN) {
        @Override
        Optional<ClaimState> next(ClaimEvent event) {
            return event == ClaimEvent.CLAIM ? Optional.of(RUNNING) : Optional.empty();
        }
    },
    /** An attempt is running, or its daemon crashed before it completed the claim. */
    RUNNING(Verdict.WAIT) {
        @Override
        Optional<ClaimState> next(ClaimEvent event) {
            return switch (event) {
                case COMPLETE -> Optional.of(ANSWERED);
                case LOSE -> Optional.of(UNKNOWN);
                case RELEASE, EXPIRE -> Optional.of(FREE);
                case CLAIM -> Optional.empty();
            };
        }
    },
    /** The response is stored. */
    ANSWERED(Verdict.REPLAY) {
        @Override
        Optional<ClaimState> next(ClaimEvent event) {
            return event == ClaimEvent.EXPIRE ? Optional.of(FREE) : Optional.empty();
        }
    },
    /** The attempt ended without a known result; it is never run again. */
    UNKNOWN(Verdict.REJECT) {
        @Override
        Optional<ClaimState> next(ClaimEvent event) {
            return event == ClaimEvent.EXPIRE ? Optional.of(FREE) : Optional.empty();
        }
    };

    /** How to treat a request with the same key and content. */
    public enum Verdict {
        /** Claim the key and run the request. */
        RUN,
        /** Wait for the result of the running attempt. */
        WAIT,
        /** Send the stored response. */
        REPLAY,
        /** Fail with run state unknown; the request must not run again. */
        REJECT
    }

    private final Verdict verdict;

    ClaimState(Verdict verdict) {
        this.verdict = verdict;
    }

    /** Returns the state after an event, or empty if the event is not permitted in this state. */
    abstract Optional<ClaimState> next(ClaimEvent event);

    /** Returns how to treat a request with the same content. */
    public Verdict verdict() {
        return verdict;
    }
}
