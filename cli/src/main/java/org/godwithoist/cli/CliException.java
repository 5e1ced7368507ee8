package org.godwithoist.cli;

/** Failure of a command, with the exit code and a message for the operator. */
final class CliException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    CliException(ExitCode code, String message) {
        super(message);
        this.code = code;
    }

    CliException(ExitCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    ExitCode code() {
        return code;
    }
}
