package org.godwithoist.cli;

/** A command cannot go on; carries the exit code and a sentence for the operator. */
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
