package org.godwithoist.cli;

/** Exit status of the process; scripts depend on these numbers. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** The request was refused or failed without a more specific code; nothing was changed. */
    FAILED(1, "refused or failed; nothing was changed"),
    /** The command line is invalid. */
    USAGE(2, "wrong command line"),
    /** Validation of the bundle reported findings. */
    FINDINGS(3, "the bundle has findings"),
    /** Another operator made a conflicting change, or the proposal is at another stage. */
    CONFLICT(4, "another operator was first, or the proposal is at another stage"),
    /** The credential is missing or invalid, or the operator is not permitted to do this. */
    DENIED(5, "credential missing or wrong, or not permitted"),
    /** No daemon responds, or the store is unavailable; nothing was changed. */
    UNAVAILABLE(6, "no daemon or no store answers; nothing was changed"),
    /** The response was lost; the change may have taken effect. */
    UNKNOWN(7, "the answer was lost; the change may have taken effect"),
    /** Accepted, but not acknowledged by all members. */
    INCOMPLETE(8, "accepted, but not acknowledged by all members");

    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_UNAUTHENTICATED = 401;
    private static final int STATUS_FORBIDDEN = 403;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_SERVER_ERRORS = 500;
    private static final int STATUS_UNAVAILABLE = 503;

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /** Returns the exit status. */
    public int status() {
        return status;
    }

    /** Returns the description that the help text prints. */
    public String meaning() {
        return meaning;
    }

    /** Returns the exit code for the response of a daemon. */
    static ExitCode of(DaemonResponse response) {
        if (response.status() == STATUS_OK) {
            return response.isIncomplete() ? INCOMPLETE : OK;
        }
        // Only the run state "not_run" in a daemon's response guarantees that a failed request
        // changed nothing.
        if (response.status() >= STATUS_SERVER_ERRORS && !response.runState().equals("not_run")) {
            return UNKNOWN;
        }
        return switch (response.status()) {
            case STATUS_BAD_REQUEST -> response.findings().isEmpty() ? FAILED : FINDINGS;
            case STATUS_UNAUTHENTICATED, STATUS_FORBIDDEN -> DENIED;
            case STATUS_CONFLICT -> CONFLICT;
            case STATUS_UNAVAILABLE -> UNAVAILABLE;
            default -> FAILED;
        };
    }
}
