package org.godwithoist.cli;

import org.kohsuke.args4j.Option;

/** Command or group of commands; the command-line parser sets its options. */
abstract class Command {
    @Option(name = "--help", help = true, usage = "shows this text")
    private boolean help;

    /** Returns whether the help text is requested. */
    boolean isHelp() {
        return help;
    }

    /** Returns whether results and errors are printed as JSON. */
    boolean isJson() {
        return false;
    }

    /** Returns the selected command; a group without a subcommand returns itself. */
    Command selected() {
        return this;
    }

    /** Returns the description that the help text prints. */
    abstract String description();

    /**
     * Runs the command.
     *
     * @throws CliException with the exit code if the command fails
     */
    abstract ExitCode run(Console console);
}
