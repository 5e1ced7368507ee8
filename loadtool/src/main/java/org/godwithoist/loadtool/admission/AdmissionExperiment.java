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
    private boolean releaseExported;

    @Option(
            name = "--granted-only",
            usage = "run only the baseline and the alternatives with granted slots")
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
        List<Turn> trace = Turn.generateTrace(seed, engines, daemons, seconds);
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
        double baselineReuse = 0;
        Map<Alternative, Simulation> simulations = new EnumMap<>(Alternative.class);
        for (Alternative alternative : alternatives()) {
            Simulation sim = simulate(alternative, trace);
            baselineReuse =
                    alternative == Alternative.OMNISCIENT ? sim.historyReuse() : baselineReuse;
            printRow(alternative, sim, baselineReuse, trace.size());
            simulations.put(alternative, sim);
        }
        printMissCauses(simulations);
    }

    private Set<Alternative> alternatives() {
        return grantedOnly
                ? EnumSet.of(
                        Alternative.OMNISCIENT,
                        Alternative.GRANTED_SHORT_WAIT,
                        Alternative.GRANTED_SLOTS)
                : EnumSet.allOf(Alternative.class);
    }

    private static void printMissCauses(Map<Alternative, Simulation> simulations) {
        System.out.printf("%n| history not found, %% | omniscient | granted slots |%n");
        System.out.println("|---|---|---|");
        for (CacheMissCause cause : CacheMissCause.values()) {
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %.1f | %.1f |%n",
                    cause.name().toLowerCase(Locale.ROOT),
                    simulations.get(Alternative.OMNISCIENT).missPercent(cause),
                    simulations.get(Alternative.GRANTED_SLOTS).missPercent(cause));
        }
    }

    private Simulation simulate(Alternative alternative, List<Turn> trace) {
        Simulation sim =
                new Simulation(
                        seed, engines, daemons, reservedHolders, skewFloor, replaceEvery, seconds);
        sim.releaseExported = releaseExported;
        run(sim, alternative, trace, seconds, moveMsPerToken);
        return sim;
    }

    /**
     * Simulates one alternative.
     *
     * @param sim a new simulation; used for one run only
     * @param seconds virtual length of the run
     * @param moveMsPerToken time of a cache move for each token; negative if caches cannot be moved
     */
    static void run(
            Simulation sim,
            Alternative alternative,
            List<Turn> trace,
            int seconds,
            double moveMsPerToken) {
        SlotFleet slots = alternative.createFleet(sim, moveMsPerToken).orElse(null);
        for (Turn t : trace) {
            sim.time.schedule(t.arrivalNanos(), () -> alternative.place(sim, t, slots));
        }
        sim.time.runUntil(seconds * EventScheduler.NANOS_PER_SECOND);
        // Load polls are not simulated: each poller polls each engine twice per second.
        sim.controlBytes +=
                2L
                        * alternative.loadPollers(sim.daemons)
                        * sim.rankedEngines(trace.getFirst()).size()
                        * seconds
                        * Alternative.LOAD_POLL_BYTES;
    }

    private void printRow(
            Alternative alternative, Simulation sim, double baselineReuse, int turns) {
        StringBuilder line = new StringBuilder("| " + alternative.name().toLowerCase(Locale.ROOT));
        for (InjectedFault fault : InjectedFault.values()) {
            line.append(String.format(Locale.ROOT, " | %.2f", sim.peakToMean(fault)));
        }
        line.append(
                String.format(
                        Locale.ROOT,
                        " | %.2f | %.1f | %.1f | %d | %d | %.1f | %d | %d | %d | %d | %d | %d | %d |",
                        sim.overBoundPercent(),
                        PERCENT * sim.historyReuse() / baselineReuse,
                        sim.movedPercent(),
                        sim.controlBytes / seconds / daemons,
                        sim.forwardedBytes / seconds / daemons,
                        sim.admissionDelay().getMean(),
                        sim.admissionDelay().getValueAtPercentile(P95),
                        sim.admissionDelay().getValueAtPercentile(P99),
                        sim.admissionDelayDuringFaults().getValueAtPercentile(P99),
                        sim.firstToken().getValueAtPercentile(P50),
                        sim.firstToken().getValueAtPercentile(P95),
                        sim.firstToken().getValueAtPercentile(P99),
                        turns - sim.accepts()));
        System.out.println(line);
    }
}
