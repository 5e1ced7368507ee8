package org.godwithoist.loadtool.admission;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Measures the admission traffic that a daemon sends, for a given number of shard owners. One shard
 * is simulated with all its slot holders. Shards do not depend on each other, so the mean traffic
 * of a daemon is the shard's traffic times the number of shards divided by the number of daemons.
 */
public final class ReportExperiment {
    private static final int USAGE_ERROR = 2;

    @Option(name = "--owners", usage = "number of shards; each has its own owner")
    private int owners = 313;

    @Option(name = "--daemons", usage = "number of daemons; 0 for three times the owners")
    private int daemons;

    @Option(name = "--targets", usage = "targets of each shard")
    private int targets = 32;

    @Option(name = "--rate", usage = "requests per second at each daemon, over all shards")
    private double rate = 128;

    @Option(name = "--hold-ms", usage = "mean time for which a request uses its slot")
    private int holdMs = 8200;

    @Option(name = "--max-concurrent", usage = "concurrent requests permitted at each target")
    private int maxConcurrent = 256;

    @Option(name = "--reserved-holders", usage = "daemons with a reserved slot of each target")
    private int reservedHolders = 2;

    @Option(name = "--skew-floor", usage = "requests in progress that are always permitted")
    private int skewFloor = 256;

    @Option(name = "--warmup", usage = "virtual seconds before the measurement")
    private int warmup = 60;

    @Option(name = "--seconds", usage = "virtual seconds of the measurement")
    private int seconds = 30;

    @Option(name = "--seed", usage = "seed of the requests")
    private long seed = 1;

    private ReportExperiment() {}

    /** Parses the options, runs the simulation and prints to standard output. */
    public static void main(String[] args) {
        ReportExperiment main = new ReportExperiment();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
        }
        main.run();
    }

    private void run() {
        int fleetSize = daemons > 0 ? daemons : 3 * owners;
        var load = new ReportFleet.Load(rate / owners, holdMs * EventScheduler.NANOS_PER_MILLI);
        var size =
                new ReportFleet.Size(fleetSize, targets, maxConcurrent, reservedHolders, skewFloor);
        ReportFleet fleet = new ReportFleet(size, load, seed);
        ReportFleet.Traffic before = fleet.runUntilSecond(warmup);
        ReportFleet.Traffic traffic = fleet.runUntilSecond(warmup + seconds).minus(before);
        double scale = (double) owners / fleetSize / seconds;
        System.out.printf(
                "%d owners, %d daemons, %d targets per shard, %.1f requests/s, hold %d ms,"
                        + " %d reserved holders, floor %d, seed %d, %d s%n%n",
                owners,
                fleetSize,
                targets,
                rate,
                holdMs,
                reservedHolders,
                skewFloor,
                seed,
                seconds);
        System.out.println(
                "| owners | messages/s | envelopes B/s | reports B/s | answers B/s | total B/s"
                        + " | B per report | B per answer | requests | mean wait ms | unserved |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
        System.out.printf(
                "| %d | %.1f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %d | %.1f | %d |%n",
                owners,
                traffic.messages() * scale,
                traffic.envelopeBytes() * scale,
                traffic.reportBytes() * scale,
                traffic.responseBytes() * scale,
                (traffic.envelopeBytes() + traffic.reportBytes() + traffic.responseBytes()) * scale,
                (double) traffic.reportBytes() / Math.max(1, traffic.exchanges()),
                (double) traffic.responseBytes() / Math.max(1, traffic.exchanges()),
                traffic.served(),
                traffic.waitedMs() / (double) Math.max(1, traffic.served()),
                traffic.unserved());
    }
}
