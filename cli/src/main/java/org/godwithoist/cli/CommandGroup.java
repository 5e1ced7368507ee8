package org.godwithoist.cli;

/** Command that selects one of several subcommands. */
abstract class CommandGroup extends Command {
    /** Returns the selected subcommand, or null if there is none. */
    abstract Command subcommand();

    @Override
    Command selected() {
        return subcommand() == null ? this : subcommand().selected();
    }

    @Override
    ExitCode run(Console console) {
        throw new CliException(ExitCode.USAGE, "subcommand is missing; see --help");
    }
}
