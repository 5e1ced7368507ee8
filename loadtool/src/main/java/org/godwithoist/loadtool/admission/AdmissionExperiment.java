package org.godwithoist.loadtool.admission;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Simulates the admission alternatives of design section 5.5 on the same trace and prints a table
 * of their results.
 */
public final class AdmissionExperiment {
    private static final int USAGE_ERROR = 2;
    private static final int COLUMNS = 19;
    private static final int PERCENT = 100;
    private static final double P50 = 50;
    private static final double P95 = 95;
    private static final double P99 = 99;

    @Option(name = "--seed", usage = "seed of the trace")
    private long seed = 1;

    @Option(name = "--seconds", usage = "virtual seconds of the run")
    private int seconds = 600;

    @Option(name = "--engines", required = true, usage = "number of engines")
    private int engines;

    @Option(name = "--daemons", usage = "number of daemons")
    private int daemons = 6;

    @Option(name = "--reserved-holders", usage = "daemons with a reserved slot of each engine")
    private int reservedHolders = 2;

    @Option(name = "--skew-floor", usage = "requests in progress that are always permitted")
    private int skewFloor = 4;

    @Option(name = "--replace-every", usage = "seconds between replacements of an engine; 0: none")
    private int replaceEvery;

    @Option(
            name = "--move-ms-per-token",
            usage = "time of a cache move for each token; negative: caches cannot be moved")
    private double moveMsPerToken = 0.01;

    @Option(name = "--release-moved", usage = "engines release a cache that they exported")
    private boolean releaseMoved;

    @Option(name = "--granted-only", usage = "run only the yardstick and granted slots")
    private boolean grantedOnly;

    private AdmissionExperiment() {}

    /** Parses the options, runs the simulations and prints to standard output. */
    public static void main(String[] args) {
        AdmissionExperiment main = new AdmissionExperiment();
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
        List<Turn> trace = Turn.trace(seed, engines, daemons, seconds);
        System.out.printf(
                "%d engines, %d daemons, %d reserved holders, floor %d, seed %d, %d s, %d turns,"
                        + " an engine replaced every %d s, %.3f ms per token moved%n%n",
                engines,
                daemons,
                reservedHolders,
                skewFloor,
                seed,
                seconds,
                trace.size(),
                replaceEvery,
                moveMsPerToken);
        System.out.println(
                "| alternative | peak/mean: no fault | lists disagree | owner paused | store down"
                        + " | surge | over bound % | reuse % of omniscient | moved % | control B/s per daemon"
                        + " | forwarded B/s per daemon | added ms: mean | p95 | p99 | in faults p99"
                        + " | first token ms: p50 | p95 | p99"
                        + " | not served |");
        System.out.println("|" + "---|".repeat(COLUMNS));
        double best = 0;
        Map<Alternative, World> worlds = new EnumMap<>(Alternative.class);
        for (Alternative a : alternatives()) {
            World w = simulate(a, trace);
            best = a == Alternative.OMNISCIENT ? w.reuse() : best;
            print(a, w, best, trace.size());
            worlds.put(a, w);
        }
        printLosses(worlds);
    }

    private Set<Alternative> alternatives() {
        return grantedOnly
                ? EnumSet.of(
                        Alternative.OMNISCIENT,
                        Alternative.GRANTED_SHORT_WAIT,
                        Alternative.GRANTED_SLOTS)
                : EnumSet.allOf(Alternative.class);
    }

    private static void printLosses(Map<Alternative, World> worlds) {
        System.out.printf("%n| history not found, %% | omniscient | granted slots |%n");
        System.out.println("|---|---|---|");
        for (LossCause c : LossCause.values()) {
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %.1f | %.1f |%n",
                    c.name().toLowerCase(Locale.ROOT),
                    worlds.get(Alternative.OMNISCIENT).lostPercent(c),
                    worlds.get(Alternative.GRANTED_SLOTS).lostPercent(c));
        }
    }

    private World simulate(Alternative a, List<Turn> trace) {
        World w =
                new World(
                        seed, engines, daemons, reservedHolders, skewFloor, replaceEvery, seconds);
        w.releaseMoved = releaseMoved;
        run(w, a, trace, seconds, moveMsPerToken);
        return w;
    }

    /**
     * Simulates one alternative.
     *
     * @param w a world that no other run has used
     * @param seconds virtual length of the run
     * @param moveMsPerToken time of a cache move for each token; negative if caches cannot be moved
     */
    static void run(World w, Alternative a, List<Turn> trace, int seconds, double moveMsPerToken) {
        SlotFleet slots = a.fleet(w, moveMsPerToken).orElse(null);
        for (Turn t : trace) {
            w.time.after(t.at(), () -> a.place(w, t, slots));
        }
        w.time.runUntil(seconds * VirtualTime.SECOND);
        // Load polls are not simulated: each poller polls each engine twice per second.
        w.controlBytes +=
                2L
                        * a.pollers(w.daemons)
                        * w.ranked(trace.getFirst()).size()
                        * seconds
                        * Alternative.LOAD_POLL_BYTES;
    }

    private void print(Alternative a, World w, double best, int turns) {
        StringBuilder line = new StringBuilder("| " + a.name().toLowerCase(Locale.ROOT));
        for (Faults f : Faults.values()) {
            line.append(String.format(Locale.ROOT, " | %.2f", w.peak(f)));
        }
        line.append(
                String.format(
                        Locale.ROOT,
                        " | %.2f | %.1f | %.1f | %d | %d | %.1f | %d | %d | %d | %d | %d | %d | %d |",
                        w.overBoundPercent(),
                        PERCENT * w.reuse() / best,
                        w.movedPercent(),
                        w.controlBytes / seconds / daemons,
                        w.forwardedBytes / seconds / daemons,
                        w.added().getMean(),
                        w.added().getValueAtPercentile(P95),
                        w.added().getValueAtPercentile(P99),
                        w.addedInFaults().getValueAtPercentile(P99),
                        w.firstToken().getValueAtPercentile(P50),
                        w.firstToken().getValueAtPercentile(P95),
                        w.firstToken().getValueAtPercentile(P99),
                        turns - w.accepts()));
        System.out.println(line);
    }
}
