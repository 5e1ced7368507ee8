package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests a fleet some of whose daemons reach no target for a time, while callers, the store and the
 * other daemons reach them.
 */
final class UnreachableTargetsTest {
    private static final Duration WARM_UP = Duration.ofSeconds(1);

    /** Permitted failures beside one in {@link #TRIES_PER_FAILURE}. */
    private static final int FAILURES = 10;

    private static final int TRIES_PER_FAILURE = 50;

    /** A fleet for the plays of one situation, which follow each other. */
    abstract static class Situation {
        PartitionedFleet fleet;

        @BeforeAll
        void startFleet(@TempDir Path dir) throws Exception {
            fleet = new PartitionedFleet(dir);
            List<FirstTry> tries = fleet.callAll(WARM_UP);
            assertEquals(Map.of(), LinkFaultPlay.failures(tries), "without a fault");
        }

        @AfterAll
        void closeFleet() throws IOException {
            fleet.close();
        }
    }

    private static void report(String what, List<FirstTry> tries) {
        System.out.printf(
                "%s: %d of %d served, %s%n",
                what, LinkFaultPlay.served(tries), tries.size(), LinkFaultPlay.failures(tries));
    }

    /** Asserts the share of served attempts that the users demand. */
    private static void assertServedLikeOthers(List<FirstTry> cut, List<FirstTry> others) {
        long servedCut = LinkFaultPlay.served(cut);
        long servedOthers = LinkFaultPlay.served(others);
        assertTrue(
                3 * servedCut * others.size() >= 2 * servedOthers * cut.size(),
                () ->
                        "served %d of %d, and %d of %d at the others: %s"
                                .formatted(
                                        servedCut,
                                        cut.size(),
                                        servedOthers,
                                        others.size(),
                                        LinkFaultPlay.failures(cut)));
    }

    /** Asserts that few attempts fail. */
    private static void assertFewFail(List<FirstTry> tries) {
        long failed = tries.size() - LinkFaultPlay.served(tries);
        assertTrue(
                failed <= FAILURES + tries.size() / TRIES_PER_FAILURE,
                () ->
                        "failed %d of %d: %s"
                                .formatted(failed, tries.size(), LinkFaultPlay.failures(tries)));
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

        private final Map<Case, LinkFaultPlay> plays = new HashMap<>();

        private LinkFaultPlay play(LinkFault fault, int daemons) throws InterruptedException {
            Case played = new Case(fault, daemons);
            if (!plays.containsKey(played)) {
                LinkFaultPlay play = LinkFaultPlay.of(fleet, daemons, fault);
                plays.put(played, play);
                report(played + ", cut off", play.during(t -> t.daemon() < daemons));
                report(played + ", others", play.during(t -> t.daemon() >= daemons));
                report(played + ", afterwards", play.afterwards());
            }
            return plays.get(played);
        }

        /** Guards against callers that are refused where a daemon nearby could serve them. */
        @ParameterizedTest
        @CsvSource({"SILENT,2", "SILENT,3", "RESET,2", "RESET,3", "NEW_RESET,2", "NEW_RESET,3"})
        void callersAreServedAsAtTheOthers(LinkFault fault, int daemons) throws Exception {
            LinkFaultPlay play = play(fault, daemons);
            List<FirstTry> cut = play.during(t -> t.daemon() < daemons);
            List<FirstTry> others = play.during(t -> t.daemon() >= daemons);
            assertAll(
                    () -> assertServedLikeOthers(cut, others),
                    () -> assertFewFail(cut),
                    () -> assertFewFail(others));
        }

        /** Guards against a fault that goes on for callers when the targets are in reach again. */
        @ParameterizedTest
        @CsvSource({"SILENT,2", "SILENT,3", "RESET,2", "RESET,3", "NEW_RESET,2", "NEW_RESET,3"})
        void allCallersAreServedAfterwards(LinkFault fault, int daemons) throws Exception {
            LinkFaultPlay play = play(fault, daemons);
            assertEquals(Map.of(), LinkFaultPlay.failures(play.afterwards()));
        }

        /**
         * Guards against a request that runs at two targets, because its first attempt was lost on
         * the way, and against one that runs although its caller was told that it did not.
         */
        @ParameterizedTest
        @CsvSource({"SILENT,2", "SILENT,3", "RESET,2", "RESET,3", "NEW_RESET,2", "NEW_RESET,3"})
        void requestsRunAsOftenAsCallersAreTold(LinkFault fault, int daemons) throws Exception {
            LinkFaultPlay play = play(fault, daemons);
            assertNone("ran twice", play.ranTwice());
            assertNone("ran although refused as not run", play.ranAlthoughRefused());
        }
    }
}
