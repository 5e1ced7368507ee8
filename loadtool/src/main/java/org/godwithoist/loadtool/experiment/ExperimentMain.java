package org.godwithoist.loadtool.experiment;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import org.godwithoist.loadtool.load.BlockingHttpClient;
import org.godwithoist.loadtool.load.FleetMap;
import org.godwithoist.loadtool.load.GuaranteeChecks;
import org.godwithoist.loadtool.trace.Deployment;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs one experiment against a running fleet. Exits with 1 if a bound is violated and with 2 on a
 * usage error.
 */
public final class ExperimentMain {
    private static final int BOUND_VIOLATED = 1;
    private static final int USAGE_ERROR = 2;

    @Argument(required = true, metaVar = "NAME", usage = "departure, latency, surge or churn")
    private String experiment;

    @Option(
            name = "--fleet",
            required = true,
            metaVar = "FILE",
            usage = "fleet map that DemoSetup wrote")
    private Path fleetFile;

    @Option(name = "--csv", required = true, metaVar = "FILE", usage = "file for the table")
    private Path csv;

    @Option(name = "--deployment", metaVar = "NAME", usage = "atelierwerk or rybnikov")
    private String deployment = Deployment.RYBNIKOV.wireName();

    @Option(
            name = "--seconds",
            metaVar = "S",
            usage = "seconds of load; 0 for the default of the experiment")
    private int seconds;

    @Option(name = "--callers", metaVar = "N", usage = "number of concurrent callers")
    private int callers = 120;

    @Option(name = "--rate", metaVar = "N", usage = "latency: requests per second")
    private int rate = 200;

    @Option(name = "--seed", metaVar = "N", usage = "seed of the trace")
    private long seed = 1;

    private ExperimentMain() {}

    /** Parses the options, runs the experiment and exits. */
    public static void main(String[] args) throws IOException {
        ExperimentMain main = new ExperimentMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
        }
        System.exit(main.run() ? 0 : BOUND_VIOLATED);
    }

    private boolean run() throws IOException {
        Experiment e = Experiment.valueOf(experiment.toUpperCase(Locale.ROOT));
        FleetMap fleet = FleetMap.parse(fleetFile.toString(), Files.readString(fleetFile));
        Vertx vertx = Vertx.vertx();
        try {
            var context =
                    new ExperimentContext(
                            vertx,
                            new BlockingHttpClient(vertx),
                            fleet,
                            Deployment.valueOf(deployment.toUpperCase(Locale.ROOT)),
                            seed,
                            Duration.ofSeconds(seconds == 0 ? e.seconds() : seconds),
                            callers,
                            rate,
                            new GuaranteeChecks());
            Table table = e.run(context);
            System.out.print(table.text());
            Files.writeString(csv, table.csv());
            return context.guarantees().allHold();
        } finally {
            vertx.close();
        }
    }
}
