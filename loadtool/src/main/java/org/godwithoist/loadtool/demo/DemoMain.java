package org.godwithoist.loadtool.demo;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.godwithoist.loadtool.load.FleetMap;
import org.godwithoist.loadtool.trace.Deployment;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs the demonstration against a running fleet. Exits with 1 if a checked guarantee does not hold
 * and with 2 on a usage error.
 */
public final class DemoMain {
    private static final int GUARANTEE_VIOLATED = 1;
    private static final int USAGE_ERROR = 2;

    @Option(
            name = "--fleet",
            required = true,
            metaVar = "FILE",
            usage = "fleet map that DemoSetup wrote")
    private Path fleetFile;

    @Option(name = "--deployment", metaVar = "NAME", usage = "atelierwerk or rybnikov")
    private String deployment = Deployment.ATELIERWERK.wireName();

    @Option(name = "--seconds", metaVar = "S", usage = "time for which the load runs")
    private int seconds = 30;

    @Option(name = "--chats", metaVar = "N", usage = "chats in the trace")
    private int chats = 60;

    @Option(name = "--seed", metaVar = "N", usage = "seed of the trace")
    private long seed = 1;

    private DemoMain() {}

    /** Parses the options, runs the demonstration and exits. */
    public static void main(String[] args) throws IOException {
        DemoMain main = new DemoMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
        }
        System.exit(main.run() ? 0 : GUARANTEE_VIOLATED);
    }

    private boolean run() throws IOException {
        FleetMap fleet = FleetMap.parse(fleetFile.toString(), Files.readString(fleetFile));
        Deployment d = Deployment.valueOf(deployment.toUpperCase(Locale.ROOT));
        Vertx vertx = Vertx.vertx();
        try {
            var options = new DemoOptions(d, seconds, chats, seed);
            return new Demo(vertx, fleet, options).run();
        } finally {
            vertx.close();
        }
    }
}
