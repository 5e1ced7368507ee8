package org.godwithoist.cli;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.godwithoist.cli.log.LogFiles;
import org.godwithoist.cli.log.LogSummary;
import org.godwithoist.cli.log.RequestTrace;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Commands that read the logs of edge daemons. */
public final class LogCommands {
    private LogCommands() {}

    /** Group of the log commands. */
    public static final class LogGroup extends CommandGroup {
        @Argument(
                required = true,
                metaVar = "COMMAND",
                usage = "call or summary",
                handler = SubCommandHandler.class)
        @SubCommands({
            @SubCommand(name = "call", impl = TraceRequest.class),
            @SubCommand(name = "summary", impl = Summarize.class),
        })
        private Command command;

        @Override
        Command subcommand() {
            return command;
        }

        @Override
        String description() {
            return "godwithoist log COMMAND: reads the logs of edge daemons.";
        }
    }

    /** Command that reads log files. */
    abstract static class LogCommand extends JsonCommand {
        @Option(
                name = "--log",
                required = true,
                metaVar = "FILE",
                usage = "log of one daemon or of several; may be given more than once")
        private List<String> files = new ArrayList<>();

        /**
         * Reads the logs.
         *
         * @throws IOException if a file cannot be read; the message names it
         */
        abstract JsonObject read(LogFiles logs) throws IOException;

        @Override
        ExitCode run(Console console) {
            try {
                console.print(read(new LogFiles(files.stream().map(Path::of).toList())), isJson());
                return ExitCode.OK;
            } catch (IOException e) {
                throw new CliException(ExitCode.FAILED, e.getMessage(), e);
            }
        }
    }

    /** Shows the trace of one request. */
    public static final class TraceRequest extends LogCommand {
        @Argument(required = true, metaVar = "ID", usage = "id of the call")
        private String id;

        @Override
        String description() {
            return "godwithoist log call ID: shows the attempts and the end of a call, and what its"
                    + " daemon believed then.";
        }

        @Override
        JsonObject read(LogFiles logs) throws IOException {
            return RequestTrace.of(id, logs)
                    .orElseThrow(
                            () ->
                                    new CliException(
                                            ExitCode.FAILED, "no log line has the call id " + id));
        }
    }

    /** Shows the outcomes of requests and the failures of targets. */
    public static final class Summarize extends LogCommand {
        private static final int DEFAULT_MAX_TARGETS = 20;

        @Option(name = "--targets", metaVar = "N", usage = "targets to show; default: 20")
        private int targets = DEFAULT_MAX_TARGETS;

        @Override
        String description() {
            return "godwithoist log summary: shows how calls ended, which targets failed or were"
                    + " slow, and what else was logged.";
        }

        @Override
        JsonObject read(LogFiles logs) throws IOException {
            return LogSummary.of(logs, targets);
        }
    }
}
