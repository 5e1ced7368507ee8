package org.godwithoist.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.godwithoist.core.json.Finding;
import org.godwithoist.core.json.FindingsException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Entry point of {@code godwithoist}. */
public final class CliMain extends CommandGroup {
    private static final int HELP_WIDTH = 100;

    @Argument(
            required = true,
            metaVar = "COMMAND",
            usage = "bundle, domain, host, status, usage, report, log or keygen",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "bundle", impl = BundleCommands.class),
        @SubCommand(name = "domain", impl = OrderCommands.DomainOrders.class),
        @SubCommand(name = "host", impl = OrderCommands.HostOrders.class),
        @SubCommand(name = "status", impl = ReadCommands.Status.class),
        @SubCommand(name = "usage", impl = ReadCommands.Usage.class),
        @SubCommand(name = "report", impl = ReadCommands.ReportGroup.class),
        @SubCommand(name = "log", impl = LogCommands.LogGroup.class),
        @SubCommand(name = "keygen", impl = KeygenCommand.class),
    })
    private Command command;

    private CliMain() {}

    /** Runs one command and exits with the status of its {@link ExitCode}. */
    public static void main(String[] args) {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        System.exit(run(args, System.getenv(), out, err).status());
    }

    /**
     * Runs one command without exiting.
     *
     * @param environment environment variables
     * @param out stream for results
     * @param err stream for error messages
     */
    public static ExitCode run(
            String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
        Console console = new Console(environment, out, err);
        CliMain main = new CliMain();
        try {
            new CmdLineParser(main).parseArgument(args);
        } catch (CmdLineException e) {
            err.println(e.getMessage());
            e.getParser().printUsage(err);
            return ExitCode.USAGE;
        }
        Command selected = main.selected();
        if (selected.isHelp()) {
            printHelp(selected, out);
            return ExitCode.OK;
        }
        try {
            return selected.run(console);
        } catch (FindingsException e) {
            return reportFailure(
                    console, selected, ExitCode.FINDINGS, e.getMessage(), e.findings());
        } catch (CliException e) {
            return reportFailure(console, selected, e.code(), e.getMessage(), List.of());
        } catch (RuntimeException e) {
            // The message is omitted, because it may contain a secret. A request may have been
            // sent.
            String description = e.getClass().getName() + " at " + e.getStackTrace()[0];
            return reportFailure(
                    console,
                    selected,
                    ExitCode.UNKNOWN,
                    "unexpected error " + description,
                    List.of());
        }
    }

    private static ExitCode reportFailure(
            Console console,
            Command command,
            ExitCode code,
            String message,
            List<Finding> findings) {
        if (!command.isJson()) {
            console.err().println(message);
            return code;
        }
        JsonArray list = new JsonArray();
        for (Finding f : findings) {
            list.add(
                    new JsonObject()
                            .put("file", f.location().file())
                            .put("line", f.location().line())
                            .put("column", f.location().column())
                            .put("path", f.location().path())
                            .put("message", f.message()));
        }
        JsonObject error =
                new JsonObject()
                        .put("code", code.name().toLowerCase(Locale.ROOT))
                        .put("message", message);
        console.print(new JsonObject().put("error", error).put("findings", list), true);
        return code;
    }

    private static void printHelp(Command command, PrintStream to) {
        to.println(command.description());
        ParserProperties wide = ParserProperties.defaults().withUsageWidth(HELP_WIDTH);
        new CmdLineParser(command, wide).printUsage(to);
        to.println("Exit codes:");
        for (ExitCode code : ExitCode.values()) {
            to.println("  " + code.status() + "  " + code.meaning());
        }
    }

    @Override
    Command subcommand() {
        return command;
    }

    @Override
    String description() {
        return "godwithoist COMMAND: commands for the operators of a fleet of router daemons.";
    }
}
