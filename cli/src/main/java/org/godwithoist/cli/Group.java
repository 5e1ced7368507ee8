package org.godwithoist.cli;

/** Commands with a common first word. */
abstract class Group extends Command {
    /** Returns the command chosen within the group, or null if there is none. */
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
