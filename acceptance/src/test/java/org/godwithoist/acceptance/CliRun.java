package org.godwithoist.acceptance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.godwithoist.cli.ExitCode;

/**
 * Result of an operator's command.
 *
 * @param code exit code
 * @param output text written to standard output
 * @param errors text written to standard error
 */
public record CliRun(ExitCode code, String output, String errors) {
    /** Fails the test unless the exit code is {@code OK}. */
    public void expectOk() {
        assertEquals(ExitCode.OK, code, errors);
    }
}
