package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.edge.ScriptedFleet.RouteKind;
import org.godwithoist.standins.edge.ClientStandin;
import org.godwithoist.standins.edge.RunnerFault;
import org.godwithoist.standins.edge.RunnerStandin;
import org.godwithoist.standins.edge.RunnerStandin.ExecutedRequest;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests a fleet some of whose daemons reach no target for a time, while callers, the store and the
 * other daemons reach them.
 */
final class UnreachableTargetsTest {
    private static final Duration WARM_UP = Duration.ofSeconds(1);

    /** Permitted failures beside one in {@link #TRIES_PER_FAILURE}. */
    private static final int FAILURES = 10;

    private static final int TRIES_PER_FAILURE = 50;

    /** Runs the scenarios of one situation one after the other with the same fleet. */
    abstract static class Situation {
        PartitionedFleet fleet;

        /** Returns the failure domain of each daemon. */
        List<String> domains() {
            return Collections.nCopies(PartitionedFleet.DAEMONS, PartitionedFleet.DOMAIN);
        }

        @BeforeAll
        void startFleet(@TempDir Path dir) throws Exception {
            fleet = new PartitionedFleet(dir, domains());
            List<FirstTry> tries = fleet.callAll(WARM_UP);
            assertEquals(Map.of(), LinkFaultScenario.failures(tries), "without a fault");
        }

        @AfterAll
        void closeFleet() throws IOException {
            fleet.close();
        }
    }

    /** Runs a test for each fault, with one daemon cut off, with half and with most of them. */
    @Retention(RetentionPolicy.RUNTIME)
    @ParameterizedTest
    @CsvSource({
        "SILENT,1",
        "RESET,1",
        "SILENT,2",
        "SILENT,3",
        "RESET,2",
        "RESET,3",
        "NEW_RESET,2",
        "NEW_RESET,3",
        "NEW_REFUSED,2",
        "NEW_REFUSED,3"
    })
    private @interface ForEachCut {}

    private static void report(String what, List<FirstTry> tries) {
        System.out.printf(
                "%s: %d of %d served, %s%n",
                what,
                LinkFaultScenario.served(tries),
                tries.size(),
                LinkFaultScenario.failures(tries));
    }

    /** Asserts the share of served attempts that the users demand. */
    private static void assertServedLikeOthers(List<FirstTry> cut, List<FirstTry> others) {
        long servedCut = LinkFaultScenario.served(cut);
        long servedOthers = LinkFaultScenario.served(others);
        assertTrue(
                3 * servedCut * others.size() >= 2 * servedOthers * cut.size(),
                () ->
                        "served %d of %d, and %d of %d at the others: %s"
                                .formatted(
                                        servedCut,
                                        cut.size(),
                                        servedOthers,
                                        others.size(),
                                        LinkFaultScenario.failures(cut)));
    }

    private static void assertEachKindServedLikeOthers(List<FirstTry> cut, List<FirstTry> others) {
        for (RouteKind kind : RouteKind.values()) {
            assertServedLikeOthers(ofKind(cut, kind), ofKind(others, kind));
        }
    }

    private static List<FirstTry> ofKind(List<FirstTry> tries, RouteKind kind) {
        return tries.stream().filter(t -> t.kind() == kind).toList();
    }

    /** Asserts that few attempts fail. */
    private static void assertFewFail(List<FirstTry> tries) {
        long failed = tries.size() - LinkFaultScenario.served(tries);
        assertTrue(
                failed <= FAILURES + tries.size() / TRIES_PER_FAILURE,
                () ->
                        "failed %d of %d: %s"
                                .formatted(
                                        failed, tries.size(), LinkFaultScenario.failures(tries)));
    }

    private static void assertNone(String what, List<FirstTry> tries) {
        assertTrue(
                tries.isEmpty(),
                () -> what + ": " + tries.size() + ", " + tries.stream().limit(5).toList());
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    final class SomeDaemonsReachNoTarget extends Situation {
        private record Case(LinkFault fault, int daemons) {}

        private final Map<Case, LinkFaultScenario> scenarios = new HashMap<>();

        private LinkFaultScenario scenario(LinkFault fault, int daemons)
                throws InterruptedException {
            Case key = new Case(fault, daemons);
            if (!scenarios.containsKey(key)) {
                LinkFaultScenario scenario = LinkFaultScenario.of(fleet, daemons, fault);
                scenarios.put(key, scenario);
                report(key + ", cut off", scenario.during(t -> t.daemon() < daemons));
                report(key + ", others", scenario.during(t -> t.daemon() >= daemons));
                report(key + ", afterwards", scenario.afterwards());
            }
            return scenarios.get(key);
        }

        /** Guards against callers that are refused where a daemon nearby could serve them. */
        @ForEachCut
        void callersAreServedAsAtTheOthers(LinkFault fault, int daemons) throws Exception {
            LinkFaultScenario scenario = scenario(fault, daemons);
            List<FirstTry> cut = scenario.during(t -> t.daemon() < daemons);
            List<FirstTry> others = scenario.during(t -> t.daemon() >= daemons);
            assertAll(
                    () -> assertServedLikeOthers(cut, others),
                    () -> assertEachKindServedLikeOthers(cut, others),
                    () -> assertFewFail(cut),
                    () -> assertFewFail(others));
        }

        /** Guards against a fault that goes on for callers when the targets are in reach again. */
        @ForEachCut
        void allCallersAreServedAfterwards(LinkFault fault, int daemons) throws Exception {
            LinkFaultScenario scenario = scenario(fault, daemons);
            assertEquals(Map.of(), LinkFaultScenario.failures(scenario.afterwards()));
        }

        /**
         * Guards against a request that runs at two targets, because its first attempt was lost on
         * the way, and against one that runs although its caller was told that it did not.
         */
        @ForEachCut
        void requestsRunAsOftenAsCallersAreTold(LinkFault fault, int daemons) throws Exception {
            LinkFaultScenario scenario = scenario(fault, daemons);
            assertNone("ran twice", scenario.ranTwice());
            assertNone("ran although refused as not run", scenario.ranAlthoughRefused());
        }
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    final class AllDaemonsReachNoTarget extends Situation {
        private static final int MAX_CONNECTIONS_TO_ANOTHER_DAEMON = 2;
        private static final int MAX_CONNECTIONS =
                MAX_CONNECTIONS_TO_ANOTHER_DAEMON
                        * PartitionedFleet.DAEMONS
                        * (PartitionedFleet.DAEMONS - 1);

        /** Leaves a caller most of its deadline for an attempt elsewhere. */
        private static final Duration MAX_REFUSAL_TIME = PartitionedFleet.DEADLINE.dividedBy(3);

        /**
         * A scenario and the connections between daemons during it.
         *
         * @param opened number of connections that were opened
         * @param maxOpen number of connections that were open at the same time
         */
        private record CountedScenario(LinkFaultScenario scenario, int opened, int maxOpen) {}

        private final Map<LinkFault, CountedScenario> scenarios = new EnumMap<>(LinkFault.class);

        private CountedScenario scenario(LinkFault fault) throws InterruptedException {
            if (!scenarios.containsKey(fault)) {
                scenarios.put(fault, runAndCount(fault));
            }
            return scenarios.get(fault);
        }

        private CountedScenario runAndCount(LinkFault fault) throws InterruptedException {
            try (PortConnections connections = new PortConnections(fleet.secondInternalPorts())) {
                LinkFaultScenario scenario =
                        LinkFaultScenario.of(fleet, PartitionedFleet.DAEMONS, fault);
                report(fault + ", all daemons", scenario.during(t -> true));
                report(fault + ", all daemons, afterwards", scenario.afterwards());
                System.out.printf(
                        "%s, all daemons: %d connections between them, %d at the same time%n",
                        fault, connections.opened(), connections.maxOpen());
                return new CountedScenario(scenario, connections.opened(), connections.maxOpen());
            }
        }

        /** Guards against callers that wait for targets that nobody reaches. */
        @ParameterizedTest
        @EnumSource(names = {"SILENT", "RESET"})
        void callersAreRefusedAtOnce(LinkFault fault) throws Exception {
            List<FirstTry> failed = scenario(fault).scenario().during(t -> !t.isServed());
            List<FirstTry> others = failed.stream().filter(t -> !t.isRefusedAsNotRun()).toList();
            List<FirstTry> late =
                    failed.stream()
                            .filter(t -> t.duration().compareTo(MAX_REFUSAL_TIME) > 0)
                            .toList();
            assertAll(
                    () -> assertNone("not refused as not run", others),
                    () -> assertNone("refused late", late));
        }

        /** Guards against daemons that refuse requests when the targets are in reach again. */
        @ParameterizedTest
        @EnumSource(names = {"SILENT", "RESET"})
        void allCallersAreServedAfterwards(LinkFault fault) throws Exception {
            assertEquals(
                    Map.of(), LinkFaultScenario.failures(scenario(fault).scenario().afterwards()));
        }

        /** Guards against runs that callers are not told of, as with some daemons cut off. */
        @ParameterizedTest
        @EnumSource(names = {"SILENT", "RESET"})
        void requestsRunAsOftenAsCallersAreTold(LinkFault fault) throws Exception {
            assertNone("ran twice", scenario(fault).scenario().ranTwice());
            assertNone("ran although refused", scenario(fault).scenario().ranAlthoughRefused());
        }

        /** Guards against daemons that pass requests on to each other without an end. */
        @ParameterizedTest
        @EnumSource(names = {"SILENT", "RESET"})
        void daemonsOpenFewConnectionsToEachOther(LinkFault fault) throws Exception {
            CountedScenario counted = scenario(fault);
            int requests = counted.scenario().tries().size();
            assertTrue(
                    counted.maxOpen() <= MAX_CONNECTIONS,
                    () -> "open at the same time: " + counted.maxOpen());
            assertTrue(
                    counted.opened() <= requests,
                    () -> counted.opened() + " connections for " + requests + " requests");
        }
    }

    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    final class SomeTargetsAreOutOfReach extends Situation {
        private static final int CUT_DAEMONS = 2;
        private static final Duration SHORT_FAULT_TIME = Duration.ofSeconds(3);

        /** Guards against requests for one service that suffer from the targets of another one. */
        @ParameterizedTest
        @EnumSource(names = {"SILENT", "RESET"})
        void otherServiceIsServedAsBefore(LinkFault fault) throws Exception {
            LinkFaultScenario scenario =
                    LinkFaultScenario.of(
                            fleet,
                            SHORT_FAULT_TIME.plusSeconds(1),
                            () -> {
                                fleet.setFault(CUT_DAEMONS, fleet.desks, fault);
                                Tasks.sleep(SHORT_FAULT_TIME);
                                fleet.setFault(CUT_DAEMONS, fleet.desks, LinkFault.NONE);
                            });
            List<FirstTry> streams =
                    scenario.tries().stream().filter(t -> t.kind().streams).toList();
            report(fault + " to one service, the other service", streams);
            assertEquals(Map.of(), LinkFaultScenario.failures(streams));
        }

        /** Guards against links that break and return faster than a daemon adapts. */
        @ParameterizedTest
        @EnumSource(names = {"SILENT", "RESET"})
        void mostCallersAreServedBehindAFlappingLink(LinkFault fault) throws Exception {
            LinkFaultScenario scenario =
                    LinkFaultScenario.of(fleet, LinkFaultScenario.FAULT_TIME, () -> flap(fault));
            List<FirstTry> cut = scenario.during(t -> t.daemon() < CUT_DAEMONS);
            report(fault + ", flapping", cut);
            assertTrue(
                    2 * LinkFaultScenario.served(cut) > cut.size(),
                    () -> LinkFaultScenario.served(cut) + " of " + cut.size() + " served");
            assertNone("ran twice", scenario.ranTwice());
            assertNone("ran although refused", scenario.ranAlthoughRefused());
        }

        private void flap(LinkFault fault) {
            for (int i = 0; i < LinkFaultScenario.FAULT_TIME.toSeconds(); i++) {
                fleet.setFault(CUT_DAEMONS, i % 2 == 0 ? fault : LinkFault.NONE);
                Tasks.sleep(Duration.ofSeconds(1));
            }
            fleet.setFault(CUT_DAEMONS, LinkFault.NONE);
        }
    }

    /** Requests at a daemon that has reached no target for some time. */
    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    final class RequestAtADaemonOutOfReach extends Situation {
        private static final int CUT_DAEMONS = 2;
        private static final int TRIES = 5;
        private static final Duration DEADLINE = Duration.ofMillis(1500);

        /** Less than the deadlines of requests, which end a run as well. */
        private static final Duration MAX_END_TIME = Duration.ofSeconds(1);

        @BeforeAll
        void cutOff() throws Exception {
            fleet.setFault(CUT_DAEMONS, LinkFault.RESET);
            fleet.callAll(LinkFaultScenario.REACTION_TIME);
        }

        /** Guards against streams that lose events between two daemons. */
        @ParameterizedTest
        @EnumSource(names = {"RESUMABLE_STREAM", "STREAM"})
        void streamArrivesWhole(RouteKind kind) {
            for (int i = 0; i < TRIES; i++) {
                FirstTry stream = fleet.call(0, kind);
                assertTrue(stream.isServed(), stream::toString);
            }
        }

        /** Guards against a target that works on when the caller has given up. */
        @ParameterizedTest
        @EnumSource
        void targetHasNoMoreTimeThanTheCaller(RouteKind kind) throws IOException {
            String id = fleet.nextId();
            try (ClientStandin client = new ClientStandin(fleet.daemon(0))) {
                PartitionedFleet.send(client, kind, id, DEADLINE);
                assertEquals(200, client.receive().status());
            }
            long ms = Long.parseLong(executed(id).fields().get("x-godwithoist-deadline-ms"));
            assertTrue(ms > 0 && ms <= DEADLINE.toMillis(), () -> "deadline " + ms + " ms");
        }

        /** Guards against a target that works on for a caller that has left. */
        @ParameterizedTest
        @EnumSource
        void runEndsWhenTheCallerLeaves(RouteKind kind) throws IOException {
            fleet.targets().forEach(t -> t.setFault(RunnerFault.HANG));
            int before = cancelled();
            String id = fleet.nextId();
            try (ClientStandin client = new ClientStandin(fleet.daemon(0))) {
                PartitionedFleet.send(client, kind, id, PartitionedFleet.DEADLINE);
                EdgeFixture.await("request at a target", () -> fleet.runs().containsKey(id));
            } finally {
                fleet.targets().forEach(t -> t.setFault(RunnerFault.NONE));
            }
            long leftAt = System.nanoTime();
            EdgeFixture.await("end of the run", () -> cancelled() > before);
            Duration time = Duration.ofNanos(System.nanoTime() - leftAt);
            assertTrue(time.compareTo(MAX_END_TIME) <= 0, () -> "ended after " + time);
        }

        private int cancelled() {
            return fleet.targets().stream().mapToInt(RunnerStandin::cancelledRequests).sum();
        }

        private ExecutedRequest executed(String id) {
            return fleet.targets().stream()
                    .flatMap(t -> t.executedRequests().stream())
                    .filter(r -> r.attemptId().equals(id))
                    .findFirst()
                    .orElseThrow();
        }
    }

    /** All daemons of one failure domain reach no target, those of another one reach all. */
    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    final class OneDomainReachesNoTarget extends Situation {
        private static final int DAEMONS_OF_A_DOMAIN = 4;

        @Override
        List<String> domains() {
            List<String> domains = new ArrayList<>();
            domains.addAll(Collections.nCopies(DAEMONS_OF_A_DOMAIN, PartitionedFleet.DOMAIN));
            domains.addAll(Collections.nCopies(DAEMONS_OF_A_DOMAIN, "zone-b"));
            return domains;
        }

        /** Guards against daemons that ask only those of their own domain. */
        @ParameterizedTest
        @EnumSource(names = {"SILENT", "RESET"})
        void itsCallersAreServedThroughTheOther(LinkFault fault) throws Exception {
            LinkFaultScenario scenario = LinkFaultScenario.of(fleet, DAEMONS_OF_A_DOMAIN, fault);
            List<FirstTry> cut = scenario.during(t -> t.daemon() < DAEMONS_OF_A_DOMAIN);
            List<FirstTry> others = scenario.during(t -> t.daemon() >= DAEMONS_OF_A_DOMAIN);
            report(fault + " in one domain, cut off", cut);
            report(fault + " in one domain, others", others);
            assertAll(
                    () -> assertEachKindServedLikeOthers(cut, others),
                    () -> assertFewFail(cut),
                    () -> assertFewFail(others),
                    () -> assertNone("ran twice", scenario.ranTwice()),
                    () -> assertNone("ran although refused", scenario.ranAlthoughRefused()));
        }
    }

    /** Daemons are stopped as planned while some of them reach no target. */
    @Nested
    @TestInstance(TestInstance.Lifecycle.PER_CLASS)
    final class PlannedStops extends Situation {
        private static final int CUT_DAEMONS = 2;
        private static final Duration STOP_TIME = Duration.ofSeconds(4);

        /** A daemon that stops serves new connections for longer than this. */
        private static final Duration SERVICE_TIME = Duration.ofSeconds(1);

        @BeforeAll
        void cutOff() throws Exception {
            fleet.setFault(CUT_DAEMONS, LinkFault.RESET);
            fleet.callAll(LinkFaultScenario.REACTION_TIME);
        }

        /** Guards against requests that are lost with the daemon to which they are passed on. */
        @Test
        void ofADaemonThatTakesRequestsCostNone() throws Exception {
            fleet.stopDaemon(PartitionedFleet.DAEMONS - 1);
            List<FirstTry> cut =
                    fleet.callAll(STOP_TIME).stream().filter(t -> t.daemon() == 1).toList();
            report("stop of another daemon, cut off", cut);
            assertEquals(Map.of(), LinkFaultScenario.failures(cut));
        }

        /** Guards against a daemon out of reach that refuses as soon as it is told to stop. */
        @Test
        void ofADaemonOutOfReachCostNoneWhileItServes() throws Exception {
            fleet.stopDaemon(0);
            List<FirstTry> cut =
                    fleet.callAll(SERVICE_TIME).stream().filter(t -> t.daemon() == 0).toList();
            report("stop of a daemon out of reach", cut);
            assertEquals(Map.of(), LinkFaultScenario.failures(cut));
        }
    }

    /** The limit of connections is checked only if these are found. */
    @Nested
    final class CountOfConnections {
        private static final int CONNECTIONS = 3;

        /** Guards against a count that stays 0 because the kernel lists ports differently. */
        @Test
        void openAndClosedConnectionsAreFound() throws Exception {
            try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
                    PortConnections count = new PortConnections(List.of(listener.getLocalPort()))) {
                Endpoint address = new Endpoint("127.0.0.1", listener.getLocalPort());
                for (int i = 0; i < CONNECTIONS; i++) {
                    try (Socket caller = new Socket(address.ip(), address.port());
                            Socket accepted = listener.accept()) {
                        EdgeFixture.await("open connection", () -> count.maxOpen() == 1);
                        assertTrue(caller.isConnected() && accepted.isConnected());
                    }
                }
                EdgeFixture.await("all connections", () -> count.opened() == CONNECTIONS);
                assertEquals(1, count.maxOpen());
            }
        }
    }
}
