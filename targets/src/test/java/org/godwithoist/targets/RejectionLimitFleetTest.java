package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates daemons whose callers want more than the targets can serve, in virtual time and without
 * a network. The targets have no queue and reject a request for which no slot is free. Daemons know
 * of each other's requests from reports, which are late.
 */
final class RejectionLimitFleetTest {
    private static final int TARGETS = 6;
    private static final int SLOTS = 8;
    private static final Duration STEP = Duration.ofMillis(5);
    private static final int REPORT_STEPS = 30;
    private static final int TRANSIT_MS = 15;
    private static final int STEPS = 4000;
    private static final Duration WINDOW = Duration.ofSeconds(1);

    /** A target as it is, in contrast to what the daemons know of it. */
    private static final class SimulatedTarget {
        private final Deque<Long> rejections = new ArrayDeque<>();
        private int running;
        private int maxRejections;

        boolean arrive(long now) {
            if (running < SLOTS) {
                running++;
                return true;
            }
            rejections.addLast(now);
            while (now - rejections.peekFirst() >= WINDOW.toNanos()) {
                rejections.pollFirst();
            }
            maxRejections = Math.max(maxRejections, rejections.size());
            return false;
        }
    }

    /** One daemon with its own view of the targets. */
    private final class Daemon {
        private final HostId host;
        private final TargetDirectory directory = new TargetDirectory(ticker);
        private final PeerLoads peers = new PeerLoads(ticker);
        private final Placement placement;
        private final FleetShare share;
        private long sequence;

        Daemon(int rank, FleetShare share, int perSecond) {
            host = new HostId("daemon-" + rank);
            this.share = share;
            placement =
                    new Placement(
                            Samples.NORTH,
                            () -> new ColdLimit(1.5, 5),
                            peers,
                            new SplittableRandom(rank));
            List<TargetEntry> entries = new ArrayList<>();
            for (int i = 0; i < TARGETS; i++) {
                entries.add(Samples.entry(i));
            }
            directory.replaceAll(entries);
            LimitStatement<RejectionLimit> statement =
                    LimitStatement.of(new RejectionLimit(perSecond));
            targets().forEach(t -> t.limits().recordRejectionLimit(statement, 0));
        }

        List<Target> targets() {
            return directory.targets(Samples.MODELS);
        }

        Optional<Target> place() {
            PlacementRequest request =
                    new PlacementRequest(
                            Samples.models(), Optional.empty(), Set.of(), Set.of(), share);
            return placement.place(request, targets()).map(Placement.Decision::target);
        }

        PeerLoads.Report report() {
            sequence++;
            return directory.report(1, sequence);
        }
    }

    private record Event(long at, Runnable action) {}

    private final VirtualTicker ticker = new VirtualTicker();
    private final SplittableRandom random = new SplittableRandom(11);
    private final List<Daemon> daemons = new ArrayList<>();
    private final Map<TargetId, SimulatedTarget> targets = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private long busySlotSteps;

    private void startFleet(int members, int perSecond) {
        for (int i = 0; i < members; i++) {
            daemons.add(new Daemon(i, new FleetShare(members, i), perSecond));
        }
        listTargets();
    }

    /** Starts daemons each of which knows only those that have started before. */
    private void startNewFleet(int members, int perSecond) {
        for (int i = 0; i < members; i++) {
            daemons.add(new Daemon(i, new FleetShare(i + 1, i, true), perSecond));
        }
        listTargets();
    }

    private void listTargets() {
        for (Target t : daemons.getFirst().targets()) {
            targets.put(t.id(), new SimulatedTarget());
        }
    }

    private void after(int millis, Runnable action) {
        events.add(new Event(ticker.nanos() + Duration.ofMillis(millis).toNanos(), action));
    }

    /**
     * Runs the fleet.
     *
     * @param requestsPerStep requests that arrive in each step
     * @param burstSteps steps in a second in which requests arrive; 200 for all
     * @param serviceMs mean time for which a request has a slot
     * @param withReports whether the daemons receive reports of each other
     */
    private void run(int requestsPerStep, int burstSteps, int serviceMs, boolean withReports) {
        for (int step = 0; step < STEPS; step++) {
            ticker.advance(STEP);
            while (!events.isEmpty() && events.peek().at() <= ticker.nanos()) {
                events.poll().action().run();
            }
            if (withReports) {
                sendReports(step);
            }
            for (int i = 0; i < requestsPerStep && step % 200 < burstSteps; i++) {
                send(daemons.get(random.nextInt(daemons.size())), serviceMs);
            }
            targets.values().forEach(t -> busySlotSteps += t.running);
        }
    }

    /** Sends the reports of the daemons that are due, each at another moment. */
    private void sendReports(int step) {
        for (int i = 0; i < daemons.size(); i++) {
            if ((step + i) % REPORT_STEPS == 0) {
                Daemon from = daemons.get(i);
                PeerLoads.Report report = from.report();
                after(
                        1 + random.nextInt(TRANSIT_MS),
                        () ->
                                daemons.stream()
                                        .filter(d -> d != from)
                                        .forEach(d -> d.peers.receive(from.host, report)));
            }
        }
    }

    private void send(Daemon daemon, int serviceMs) {
        Optional<Target> placed = daemon.place();
        if (placed.isEmpty()) {
            return;
        }
        Target target = placed.get();
        Target.PendingResponse pending = target.startWaiting();
        SimulatedTarget simulated = targets.get(target.id());
        after(
                1 + random.nextInt(TRANSIT_MS),
                () -> {
                    boolean accepted = simulated.arrive(ticker.nanos());
                    int workMs = serviceMs / 2 + random.nextInt(serviceMs);
                    after(accepted ? workMs : 1, () -> end(simulated, target, pending, accepted));
                });
    }

    private void end(
            SimulatedTarget simulated,
            Target target,
            Target.PendingResponse pending,
            boolean accepted) {
        if (accepted) {
            simulated.running--;
            target.responseStarted(pending);
        } else {
            target.recordRejection(pending);
        }
        target.stopWaiting(pending);
        target.end(accepted ? Verdict.GOOD : Verdict.NEUTRAL);
    }

    private int maxRejections() {
        return targets.values().stream().mapToInt(t -> t.maxRejections).max().orElseThrow();
    }

    private double utilization() {
        return (double) busySlotSteps / ((long) STEPS * TARGETS * SLOTS);
    }

    private void assertNoTargetFails(int perSecond) {
        int most = maxRejections();
        assertTrue(most <= perSecond, most + " rejections in a second; at most " + perSecond);
    }

    @Nested
    final class MoreRequestsThanSlots {
        /**
         * Guards against targets that fail because daemons fill the same slots, and against slots
         * that no daemon may use.
         */
        @ParameterizedTest
        @CsvSource({
            "4, 4, 300, 0.6",
            "4, 4, 3000, 0.8",
            "16, 4, 300, 0.6",
            "16, 4, 3000, 0.8",
            "16, 12, 300, 0.6",
            "16, 2, 3000, 0.7",
            "95, 10, 3000, 0.5"
        })
        void targetsStayAndAreUsed(
                int members, int perSecond, int serviceMs, double minUtilization) {
            startFleet(members, perSecond);
            run(4, 200, serviceMs, true);
            assertNoTargetFails(perSecond);
            assertTrue(utilization() >= minUtilization, "utilization: " + utilization());
        }
    }

    @Nested
    final class Bursts {
        /** Guards against bursts at idle targets, whose slots all daemons see free at once. */
        @ParameterizedTest
        @CsvSource({"4, 3", "16, 3", "16, 8"})
        void targetsStay(int members, int perSecond) {
            startFleet(members, perSecond);
            run(40, 20, 300, true);
            assertNoTargetFails(perSecond);
        }
    }

    @Nested
    final class NewFleet {
        /** Guards against targets that fail because the daemons do not know each other yet. */
        @ParameterizedTest
        @CsvSource({"4, 3", "16, 3"})
        void targetsStayAndAreUsed(int members, int perSecond) {
            startNewFleet(members, perSecond);
            run(4, 200, 3000, true);
            assertNoTargetFails(perSecond);
            assertTrue(utilization() >= 0.4, "utilization: " + utilization());
        }

        /** Guards against bursts at daemons that have all started at the same time. */
        @ParameterizedTest
        @CsvSource({"4, 3", "16, 3"})
        void targetsStayInBursts(int members, int perSecond) {
            startNewFleet(members, perSecond);
            run(40, 20, 300, true);
            assertNoTargetFails(perSecond);
        }
    }

    @Nested
    final class NoReports {
        /** Guards against daemons that know nothing of each other and fill the same slots. */
        @Test
        void targetsStay() {
            startFleet(16, 3);
            run(4, 200, 300, false);
            assertNoTargetFails(3);
        }
    }
}
