package org.godwithoist.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Commands that only read from a daemon. */
public final class ReadCommands {
    private ReadCommands() {}

    /** Shows the state of a daemon. */
    public static final class Status extends DaemonCommand {
        @Override
        String description() {
            return "godwithoist status: shows the state of a daemon, its members and its targets.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            return printResponse(console, client.get("/v1/status"));
        }
    }

    /** Shows the usage of the workspaces. */
    public static final class Usage extends DaemonCommand {
        @Override
        String description() {
            return "godwithoist usage: shows the usage of each workspace, settled and unsettled.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            return printResponse(console, client.get("/v1/usage"));
        }
    }

    /** Group of reports about service levels. */
    public static final class ReportGroup extends CommandGroup {
        @Argument(
                required = true,
                metaVar = "REPORT",
                usage = "burn",
                handler = SubCommandHandler.class)
        @SubCommands(@SubCommand(name = "burn", impl = Burn.class))
        private Command command;

        @Override
        Command subcommand() {
            return command;
        }

        @Override
        String description() {
            return "godwithoist report REPORT: reports about service levels.";
        }
    }

    /** Shows the burn report or writes it to an HTML file. */
    public static final class Burn extends DaemonCommand {
        @Option(
                name = "--html",
                metaVar = "FILE",
                usage = "writes the report as an HTML page to a file")
        private String htmlFile;

        @Override
        String description() {
            return "godwithoist report burn: shows how fast the error budgets are used up.";
        }

        @Override
        ExitCode run(Console console, DaemonClient client) {
            if (htmlFile == null) {
                return printResponse(console, client.get("/v1/report/burn"));
            }
            DaemonResponse response = client.getHtml("/v1/report/burn.html");
            if (ExitCode.of(response) != ExitCode.OK) {
                return printResponse(console, response);
            }
            try {
                Files.writeString(Path.of(htmlFile), response.text());
            } catch (IOException e) {
                throw new CliException(ExitCode.FAILED, "cannot write the file " + htmlFile, e);
            }
            return ExitCode.OK;
        }
    }
}
