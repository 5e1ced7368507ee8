package org.godwithoist.dispatch;

import org.godwithoist.targets.Verdict;

/** How one attempt at a target ended. */
public enum AttemptOutcome {
    /** The complete response was sent to the caller. */
    ANSWERED(Verdict.GOOD, true, false),
    /**
     * The target sent a response whose end it did not state, and a target can be asked for more.
     * The events of a stream were sent to the caller, and nothing of another response.
     */
    UNCONFIRMED(Verdict.GOOD, true, true),
    /** The target sent a failure response; nothing was sent to the caller yet. */
    FAILURE_ANSWER(Verdict.FAILED, true, true),
    /** The target rejected the request without running it. */
    REJECTED(Verdict.REJECTED, false, true),
    /**
     * The target rejected the request without running it and asked for a pause. This is
     * back-pressure and not a failure of the target.
     */
    THROTTLED(Verdict.NEUTRAL, false, true),
    /** Another target has the address now; the request did not run. */
    MOVED(Verdict.UNREACHABLE, false, true),
    /** The connection to the target failed; nothing was sent. */
    UNREACHABLE(Verdict.UNREACHABLE, false, true),
    /** The daemon ends and sends nothing more to targets. */
    NOT_SENT(Verdict.NEUTRAL, false, true),
    /** The request was sent, and the connection ended before a response. */
    LOST(Verdict.FAILED, true, true),
    /** The target sent an invalid response, or only responses to other requests. */
    INVALID(Verdict.FAILED, true, true),
    /** The target sent no byte within the response timeout. */
    SILENT(Verdict.FAILED, true, true),
    /** The response broke off after a part of it was sent to the caller. */
    BROKEN(Verdict.FAILED, true, true),
    /**
     * The request was taken back, because it is quarantined and its response had not begun, or
     * because the daemon ends.
     */
    WITHDRAWN(Verdict.NEUTRAL, true, false),
    /** The deadline of the request passed. */
    TIMED_OUT(Verdict.NEUTRAL, true, false),
    /** The caller disconnected or stopped reading. */
    CALLER_LEFT(Verdict.NEUTRAL, true, false);

    private final Verdict verdict;
    private final boolean mayHaveRun;
    private final boolean retryable;

    AttemptOutcome(Verdict verdict, boolean mayHaveRun, boolean retryable) {
        this.verdict = verdict;
        this.mayHaveRun = mayHaveRun;
        this.retryable = retryable;
    }

    /** Returns the effect on the health of the target. */
    public Verdict verdict() {
        return verdict;
    }

    /** Returns whether the target may have run the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the target has refused the request without running it. */
    boolean refusesForCapacity() {
        return this == REJECTED || this == THROTTLED;
    }

    /** Returns whether the connection may have ended before the complete response. */
    public boolean isConnectionLoss() {
        return this == LOST || this == BROKEN;
    }

    /**
     * Returns whether the target may be out of reach: the connection failed, or the target has sent
     * nothing.
     */
    boolean isWithoutContact() {
        return switch (this) {
            case UNREACHABLE, LOST, SILENT, TIMED_OUT -> true;
            case ANSWERED,
                    UNCONFIRMED,
                    FAILURE_ANSWER,
                    REJECTED,
                    THROTTLED,
                    MOVED,
                    NOT_SENT,
                    INVALID,
                    BROKEN,
                    WITHDRAWN,
                    CALLER_LEFT ->
                    false;
        };
    }

    /** Returns whether the request can be sent to another target if the route permits it. */
    public boolean isRetryable() {
        return retryable;
    }
}
