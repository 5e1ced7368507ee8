package org.godwithoist.cli;

/** Command that selects one of several subcommands. */
abstract class Group extends Command {
    /** Returns the selected subcommand, or null if there is none. */
    abstract Command member();

    @Override
    Command chosen() {
        return member() == null ? this : member().chosen();
    }

    @Override
    ExitCode run(Console console) {
        throw new CliException(ExitCode.USAGE, "a command is missing");
    }
}
