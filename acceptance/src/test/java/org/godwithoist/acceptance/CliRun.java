package org.godwithoist.acceptance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.godwithoist.cli.ExitCode;

/**
 * What a command of an operator did.
 *
 * @param code its exit code
 * @param output what it printed as its result
 * @param errors what it printed as its failure
 */
public record CliRun(ExitCode code, String output, String errors) {
    /** Fails the test if the command failed. */
    public void expectOk() {
        assertEquals(ExitCode.OK, code, errors);
    }
}
