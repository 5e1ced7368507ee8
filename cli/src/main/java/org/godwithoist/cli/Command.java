package org.godwithoist.cli;

import org.kohsuke.args4j.Option;

/** A command or a group of commands with its options, filled by the command-line parser. */
abstract class Command {
    @Option(name = "--help", help = true, usage = "shows this text")
    private boolean help;

    /** Returns whether the operator asked for help. */
    boolean isHelp() {
        return help;
    }

    /** Returns whether the operator asked for JSON. */
    boolean isJson() {
        return false;
    }

    /** Returns the command that the operator chose; a group without a choice returns itself. */
    Command chosen() {
        return this;
    }

    /** Returns what the command does, for its help. */
    abstract String description();

    /**
     * Runs the command.
     *
     * @throws CliException with the exit code if it cannot go on
     */
    abstract ExitCode run(Console console);
}
