package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Simulates the placements of several daemons that share the same engines, in virtual time and
 * without a network. Each daemon learns the load from its own responses and from the reports of the
 * other daemons.
 */
final class PlacementFleetTest {
    private static final int DAEMONS = 8;
    private static final int ENGINES = 12;
    private static final double BOUND_FACTOR = 2;
    private static final int BOUND_SLACK = 3;

    /** Fraction of requests that the rule LIMIT permits to reach an engine over the bound. */
    private static final double MAX_FRACTION_OVER_BOUND = 0.03;

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(150);
    private static final Duration STEP = Duration.ofMillis(5);
    private static final int STEPS = 4000;
    private static final int BURSTS_PER_SECOND = 50;
    private static final int MAX_REQUEST_MS = 4000;
    private static final int FIRST_BYTE_MS = 30;

    /** One daemon with its own local view of the engines. */
    private static final class Daemon {
        private final HostId host;
        private final TargetDirectory directory;
        private final PeerLoads peers;
        private final Placement placement;
        private long sequence;

        Daemon(int number, VirtualTicker ticker) {
            host = new HostId("daemon-" + number);
            directory = new TargetDirectory(ticker);
            peers = new PeerLoads(ticker);
            SplittableRandom random = new SplittableRandom(number);
            placement = new Placement(Samples.NORTH, () -> new ColdLimit(1.5, 5), peers, random);
            List<TargetEntry> entries = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                entries.add(Samples.engine(i));
            }
            directory.replaceAll(entries);
        }

        void receive(HostId from, PeerLoads.Report report) {
            peers.receive(from, report);
            directory.recordPeerCachedPrefixes(report.cachedPrefixes());
        }

        PeerLoads.Report report() {
            sequence++;
            return directory.report(1, sequence);
        }
    }

    private record Running(Target target, PrefixKey prefix, long firstByteAt, long endsAt) {}

    private final VirtualTicker ticker = new VirtualTicker();
    private final SplittableRandom random = new SplittableRandom(11);
    private final List<Daemon> daemons = new ArrayList<>();
    private final PriorityQueue<Running> awaitingFirstByte =
            new PriorityQueue<>(Comparator.comparingLong(Running::firstByteAt));
    private final PriorityQueue<Running> running =
            new PriorityQueue<>(Comparator.comparingLong(Running::endsAt));
    private int requests;
    private int overBound;

    /**
     * Runs the simulation and returns the fraction of requests that reached an engine over the
     * bound.
     */
    private double simulate(Set<FailureDomainId> outOfService, boolean withPeerReports) {
        for (int i = 0; i < DAEMONS; i++) {
            daemons.add(new Daemon(i, ticker));
        }
        for (int step = 0; step < STEPS; step++) {
            ticker.advance(STEP);
            processResponses();
            boolean reportDue = step % (REPORT_INTERVAL.toMillis() / STEP.toMillis()) == 0;
            if (withPeerReports && reportDue) {
                exchangeReports();
            }
            if (random.nextInt(1000) < BURSTS_PER_SECOND * STEP.toMillis()) {
                placeBurst(outOfService);
            }
        }
        return (double) overBound / requests;
    }

    private void processResponses() {
        long now = ticker.nanos();
        while (!awaitingFirstByte.isEmpty() && awaitingFirstByte.peek().firstByteAt() <= now) {
            Running r = awaitingFirstByte.poll();
            r.target().recordCachedPrefix(r.prefix());
            r.target().recordLoad(new LoadReport(inFlight(r.target()), 0, 64));
        }
        while (!running.isEmpty() && running.peek().endsAt() <= now) {
            running.poll().target().end(Verdict.GOOD);
        }
    }

    private void exchangeReports() {
        for (Daemon from : daemons) {
            PeerLoads.Report report = from.report();
            daemons.stream().filter(to -> to != from).forEach(to -> to.receive(from.host, report));
        }
    }

    /** Places a burst of one to three requests, half of which share four prefixes. */
    private void placeBurst(Set<FailureDomainId> outOfService) {
        int burst = 1 + random.nextInt(3);
        for (int i = 0; i < burst; i++) {
            Daemon d = daemons.get(random.nextInt(DAEMONS));
            int prefixNumber = random.nextBoolean() ? random.nextInt(4) : random.nextInt(100);
            place(
                    d,
                    new PromptPrefix(
                            PrefixKey.of("thing-" + prefixNumber),
                            1000,
                            List.of(),
                            PrefixKey.of("thing-" + prefixNumber)),
                    outOfService);
        }
    }

    private void place(Daemon d, PromptPrefix prefix, Set<FailureDomainId> outOfService) {
        PlacementRequest request =
                new PlacementRequest(
                        Samples.models(),
                        Optional.of(prefix),
                        Set.of(),
                        outOfService,
                        Samples.ALONE);
        Target t =
                d.placement
                        .place(request, d.directory.targets(Samples.MODELS))
                        .orElseThrow()
                        .target();
        requests++;
        double mean = (double) inFlight() / ENGINES;
        if (inFlight(t) - 1 > BOUND_FACTOR * mean + BOUND_SLACK) {
            overBound++;
        }
        long now = ticker.nanos();
        long endsAt = now + Duration.ofMillis(100 + random.nextInt(MAX_REQUEST_MS)).toNanos();
        long firstByteAt = now + Duration.ofMillis(FIRST_BYTE_MS).toNanos();
        Running r = new Running(t, prefix.key(), firstByteAt, endsAt);
        awaitingFirstByte.add(r);
        running.add(r);
    }

    private int inFlight() {
        return daemons.stream()
                .flatMap(d -> d.directory.targets(Samples.MODELS).stream())
                .mapToInt(Target::inFlight)
                .sum();
    }

    private int inFlight(Target target) {
        return daemons.stream()
                .flatMap(d -> d.directory.targets(Samples.MODELS).stream())
                .filter(t -> t.id().equals(target.id()))
                .mapToInt(Target::inFlight)
                .sum();
    }

    /**
     * Scenario: a failure domain is taken out of service ({@code evacuate}) while a few prefixes
     * are requested often.
     */
    @Nested
    final class DomainOutOfService {
        /**
         * Guards against an engine over the bound because each daemon knows little of the requests
         * of the others. Seen on bench-ops, fault day empty-zone-and-reuse: rule LIMIT violated
         * with 4 of 11 seeds.
         */
        @Test
        void enginesInServiceStayWithinTheBound() {
            double fraction = simulate(Set.of(Samples.SOUTH), true);
            assertTrue(fraction <= MAX_FRACTION_OVER_BOUND, "fraction over the bound: " + fraction);
        }
    }

    /** Scenario: a few prefixes are requested often ({@code hot_key}). */
    @Nested
    final class HotKeys {
        /** Guards against an engine that all daemons choose at the same time. */
        @Test
        void enginesStayWithinTheBound() {
            double fraction = simulate(Set.of(), true);
            assertTrue(fraction <= MAX_FRACTION_OVER_BOUND, "fraction over the bound: " + fraction);
        }
    }

    /** Scenario: daemons cannot reach each other ({@code one_way}, {@code node_cut}). */
    @Nested
    final class NoPeerReports {
        /**
         * Guards against ignoring the load reports of engines when the daemons receive none from
         * each other.
         */
        @Test
        void engineReportsKeepEnginesWithinTheBound() {
            double fraction = simulate(Set.of(), false);
            assertTrue(fraction <= MAX_FRACTION_OVER_BOUND, "fraction over the bound: " + fraction);
        }
    }
}
