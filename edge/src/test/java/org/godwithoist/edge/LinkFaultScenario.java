package org.godwithoist.edge;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.godwithoist.core.task.Tasks;

/**
 * First attempts of callers at all daemons of a fleet, while a fault of links between daemons and
 * targets begins and ends.
 *
 * @param begin time at which the fault began, in nanoseconds of {@link System#nanoTime}
 * @param end time at which it ended
 * @param runs how often targets have run each request, by the id of the attempt
 */
record LinkFaultScenario(List<FirstTry> tries, long begin, long end, Map<String, Long> runs) {
    /** Time for which a fault lasts. */
    static final Duration FAULT_TIME = Duration.ofSeconds(6);

    /** Time in which daemons must have adapted to the begin of a fault, or to its end. */
    static final Duration REACTION_TIME = Duration.ofSeconds(3);

    private static final Duration SCENARIO_TIME = FAULT_TIME.plus(REACTION_TIME).plusSeconds(1);

    /** Changes the links of a fleet for some time. */
    @FunctionalInterface
    interface Fault {
        /** Injects faults and returns when all links work again. */
        void inject();
    }

    /**
     * Sends first attempts to all daemons for a time, while a fault begins and ends.
     *
     * @param time time for which attempts are sent, from the begin of the fault
     */
    static LinkFaultScenario of(PartitionedFleet fleet, Duration time, Fault fault)
            throws InterruptedException {
        long begin = System.nanoTime();
        long[] end = new long[1];
        Thread faults =
                Tasks.start(
                        "fault",
                        () -> {
                            fault.inject();
                            end[0] = System.nanoTime();
                        });
        List<FirstTry> tries = fleet.callAll(time);
        faults.join();
        return new LinkFaultScenario(tries, begin, end[0], fleet.runs());
    }

    /** Gives the first daemons a fault on the way to all targets for some time. */
    static LinkFaultScenario of(PartitionedFleet fleet, int daemons, LinkFault fault)
            throws InterruptedException {
        return of(
                fleet,
                SCENARIO_TIME,
                () -> {
                    fleet.setFault(daemons, fault);
                    Tasks.sleep(FAULT_TIME);
                    fleet.setFault(daemons, LinkFault.NONE);
                });
    }

    /** Returns the attempts that were sent when daemons must have adapted to the fault. */
    List<FirstTry> during(Predicate<FirstTry> condition) {
        long from = begin + REACTION_TIME.toNanos();
        return tries.stream()
                .filter(t -> t.sentAt() - from >= 0 && t.sentAt() - end < 0)
                .filter(condition)
                .toList();
    }

    /** Returns the attempts that were sent when daemons must have adapted to the fault's end. */
    List<FirstTry> afterwards() {
        long from = end + REACTION_TIME.toNanos();
        return tries.stream().filter(t -> t.sentAt() - from >= 0).toList();
    }

    /** Returns the requests that ran more than once although their route forbids it. */
    List<FirstTry> ranTwice() {
        return tries.stream()
                .filter(t -> t.kind().runsOnce && runs.getOrDefault(t.id(), 0L) > 1)
                .toList();
    }

    /** Returns the requests that ran although their callers were told that they did not. */
    List<FirstTry> ranAlthoughRefused() {
        return tries.stream()
                .filter(t -> t.isRefusedAsNotRun() && runs.containsKey(t.id()))
                .toList();
    }

    /** Returns how many attempts were served. */
    static long served(List<FirstTry> tries) {
        return tries.stream().filter(FirstTry::isServed).count();
    }

    /** Returns how often the attempts that were not served ended with each status. */
    static Map<String, Long> failures(List<FirstTry> tries) {
        return tries.stream()
                .filter(t -> !t.isServed())
                .collect(
                        Collectors.groupingBy(
                                t -> t.kind() + " " + t.status(), Collectors.counting()));
    }
}
