package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.godwithoist.standins.edge.RunnerFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Scenario: engines of two software versions serve side by side, and streams are broken off. What
 * two versions write does not fit together.
 */
final class StreamVersionsTest {
    private static final int STREAMS = 16;

    /** Far less than the time limit of the streams: what cannot be served is refused at once. */
    private static final Duration MAX_REFUSAL_TIME = Duration.ofSeconds(5);

    @TempDir Path dir;
    private StreamFleet fleet;
    private final List<StreamCaller> callers = new ArrayList<>();

    @BeforeEach
    void start() throws IOException {
        fleet = new StreamFleet(dir);
    }

    @AfterEach
    void stop() throws IOException {
        for (StreamCaller c : callers) {
            c.close();
        }
        fleet.close();
    }

    private List<StreamCaller> begin() throws IOException {
        callers.addAll(fleet.beginStreams(STREAMS));
        return callers;
    }

    private void leaveAll() throws IOException {
        for (StreamCaller c : callers) {
            c.close();
        }
    }

    private void takeUp(List<StreamCaller> streams) throws IOException {
        fleet.takeUp(streams);
    }

    private void assertNoneJoined() {
        assertEquals(List.of(), fleet.joined(callers), fleet::logs);
    }

    private void assertMostAreWhole(List<StreamCaller> streams) {
        long whole = streams.stream().filter(StreamCaller::isWhole).count();
        assertTrue(
                2 * whole > streams.size(),
                () -> "gone on to their end: " + whole + " of " + streams + "\n" + fleet.logs());
    }

    private void assertRefusedAsNotRun(List<StreamCaller> streams) {
        for (StreamCaller s : streams) {
            assertEquals(503, s.status(), s::toString);
            assertTrue(s.fields().contains("Retry-After"), s::fields);
        }
    }

    /** Scenario: a daemon goes on with a stream within its response. */
    @Nested
    final class WithinOneResponse {
        /** Guards against the rest of a stream that another version writes. */
        @Test
        void otherVersionDoesNotGoOnWhenTheTargetsEnd() throws Exception {
            fleet.startTargets(StreamFleet.NEW);
            begin();
            fleet.endTargets(StreamFleet.OLD);
            callers.forEach(StreamCaller::receiveRest);
            assertNoneJoined();
        }

        /** Guards against the same where targets break off and live on. */
        @Test
        void otherVersionDoesNotGoOnWhenTargetsBreakOff() throws Exception {
            fleet.startTargets(StreamFleet.NEW);
            fleet.targetsOf(StreamFleet.OLD).forEach(t -> t.setFault(RunnerFault.BREAK_MIDWAY));
            fleet.targetsOf(StreamFleet.NEW).forEach(t -> t.setFault(RunnerFault.BREAK_MIDWAY));
            for (int i = 0; i < STREAMS; i++) {
                callers.addAll(fleet.beginStreams("midway-" + i, 1));
            }
            callers.forEach(StreamCaller::receiveRest);
            assertNoneJoined();
        }
    }

    /** Scenario: callers take their streams up again while their version serves. */
    @Nested
    final class TakenUpAgain {
        /** Guards against streams that are refused, or go on at another version. */
        @Test
        void streamsGoOnAtAnotherDaemon() throws Exception {
            fleet.startTargets(StreamFleet.NEW);
            begin();
            fleet.settle();
            leaveAll();
            takeUp(callers);
            assertNoneJoined();
            assertMostAreWhole(callers);
        }

        /** Guards against streams that only other daemons find, after they were saved. */
        @Test
        void streamsGoOnAtTheSameDaemonAtOnce() throws Exception {
            fleet.startTargets(StreamFleet.NEW);
            begin();
            leaveAll();
            fleet.takeUpAtTheSame(callers);
            assertNoneJoined();
            assertMostAreWhole(callers);
        }

        /** Guards against a second take-up that is bound to the one before, not to the begin. */
        @Test
        void streamsGoOnTwice() throws Exception {
            fleet.startTargets(StreamFleet.NEW);
            begin();
            fleet.settle();
            leaveAll();
            fleet.takeUpPartly(callers);
            leaveAll();
            takeUp(callers);
            assertNoneJoined();
            assertMostAreWhole(callers);
        }

        /** Guards against streams that began before there was a second version, and are refused. */
        @Test
        void streamsOfTheOnlyVersionGoOn() throws Exception {
            begin();
            fleet.startTargets(StreamFleet.NEW);
            leaveAll();
            takeUp(callers);
            assertNoneJoined();
            assertMostAreWhole(callers);
        }

        /** Guards against a stream of an unknown beginning that goes on anywhere. */
        @Test
        void unknownStreamIsRefusedAsNotRun() throws Exception {
            fleet.startTargets(StreamFleet.NEW);
            begin();
            leaveAll();
            callers.get(0).takeUp(fleet.daemon(0), "never-begun");
            callers.get(0).receiveRest();
            assertRefusedAsNotRun(callers.subList(0, 1));
        }

        /** Guards against the refusal of a new stream because its caller names an older one. */
        @Test
        void streamThatBeginsAnewIsServed() throws Exception {
            fleet.startTargets(StreamFleet.NEW);
            begin();
            leaveAll();
            callers.get(0).beginAnew(fleet.daemon(0), 7);
            callers.get(0).receiveRest();
            assertEquals(200, callers.get(0).status());
        }

        /** Guards against a take-up whose beginning cannot be read and that is taken for new. */
        @Test
        void malformedBeginningIsRefused() throws Exception {
            begin();
            leaveAll();
            callers.get(0).takeUp(fleet.daemon(0), "two words");
            callers.get(0).receiveRest();
            assertEquals(400, callers.get(0).status());
        }
    }

    /** Scenario: a daemon is cut off from the store before the second version appears. */
    @Nested
    final class DaemonCutOffFromTheStore {
        /** Guards against the claim that there is one version by a daemon that cannot know. */
        @Test
        void takesNoStreamForOneOfTheVersionThatItKnows() throws Exception {
            fleet.settle();
            fleet.cutOffFromStore(1);
            fleet.startTargets(StreamFleet.NEW);
            for (int i = 0; i < STREAMS; i++) {
                callers.add(fleet.beginStream("begun-" + i, 0));
            }
            fleet.settle();
            leaveAll();
            fleet.takeUpAt(1, callers);
            assertNoneJoined();
            assertTrue(
                    callers.stream().anyMatch(c -> fleet.versionsOf(c).contains(StreamFleet.NEW)),
                    "the second version has begun no stream");
        }

        /** Guards against take-ups that are refused because a daemon has lost the store. */
        @Test
        void streamsOfTheOnlyVersionGoOn() throws Exception {
            fleet.settle();
            fleet.cutOffFromStore(1);
            fleet.settle();
            for (int i = 0; i < STREAMS; i++) {
                callers.add(fleet.beginStream("begun-" + i, 0));
            }
            leaveAll();
            fleet.takeUpAt(1, callers);
            assertMostAreWhole(callers);
        }
    }

    /**
     * Scenario: daemons are cut off from the store, and from the daemons that have not lost it,
     * before the second version appears. Its streams begin at a daemon that they do not hear.
     */
    @Nested
    final class DaemonsCutOffFromTheFleet {
        private void replaceFleet(int daemons) throws IOException {
            fleet.close();
            fleet = new StreamFleet(dir.resolve("fleet-of-" + daemons), daemons);
            fleet.settle();
        }

        private void assertNoStreamOfTheNewVersionGoesOn() throws IOException {
            fleet.startTargets(StreamFleet.NEW);
            callers.addAll(fleet.beginElsewhere(StreamFleet.NEW, STREAMS));
            leaveAll();
            fleet.takeUpAt(0, callers);
            assertNoneJoined();
            assertRefusedAsNotRun(callers);
        }

        /** Guards against a daemon that counts as in touch for seconds after it has lost all. */
        @Test
        void oneTakesNoStreamForOneOfTheVersionThatItKnows() throws Exception {
            replaceFleet(1);
            fleet.cutOffFromStore(0);
            assertNoStreamOfTheNewVersionGoesOn();
        }

        /** Guards against daemons that take each other's messages for news of the store. */
        @Test
        void severalThatHearOnlyEachOtherTakeNone() throws Exception {
            replaceFleet(3);
            fleet.cutOffFromStore(0);
            fleet.cutOffFromStore(1);
            fleet.killDaemon(2);
            fleet.settle();
            fleet.settle();
            assertNoStreamOfTheNewVersionGoesOn();
        }
    }

    /** Scenario: one daemon is cut off from the other daemons, but not from the store. */
    @Nested
    final class DaemonCutOffFromThePeers {
        /** Guards against take-ups that are refused because no other daemon is heard. */
        @Test
        void streamsOfTheOnlyVersionGoOn() throws Exception {
            fleet.close();
            fleet = new StreamFleet(dir.resolve("fleet-of-1"), 1);
            fleet.settle();
            callers.addAll(fleet.beginElsewhere(StreamFleet.OLD, STREAMS));
            leaveAll();
            fleet.takeUpAt(0, callers);
            assertMostAreWhole(callers);
        }

        /** Guards against streams of a new version that go on at the version of before. */
        @Test
        void streamsOfTheNewVersionAreNotJoined() throws Exception {
            fleet.close();
            fleet = new StreamFleet(dir.resolve("fleet-of-1"), 1);
            fleet.settle();
            fleet.startTargets(StreamFleet.NEW);
            callers.addAll(fleet.beginElsewhere(StreamFleet.NEW, STREAMS));
            leaveAll();
            fleet.takeUpAt(0, callers);
            assertNoneJoined();
        }
    }

    /** Scenario: the version that began the streams has left. */
    @Nested
    final class VersionThatLeft {
        /** Guards against the same while its targets drain and are still listed. */
        @Test
        void streamsAreRefusedWhileItsTargetsDrain() throws Exception {
            begin();
            fleet.startTargets(StreamFleet.NEW);
            leaveAll();
            fleet.drainTargets(StreamFleet.OLD);
            long startedAt = System.nanoTime();
            takeUp(callers);
            Duration elapsed = Duration.ofNanos(System.nanoTime() - startedAt);
            assertNoneJoined();
            assertRefusedAsNotRun(callers);
            assertTrue(elapsed.compareTo(MAX_REFUSAL_TIME) < 0, "refused after " + elapsed);
        }

        /** Guards against the rest of a stream that the remaining version writes. */
        @Test
        void streamsAreRefusedAsNotRun() throws Exception {
            begin();
            fleet.startTargets(StreamFleet.NEW);
            leaveAll();
            fleet.removeTargets(StreamFleet.OLD);
            takeUp(callers);
            assertNoneJoined();
            assertRefusedAsNotRun(callers);
        }

        /** Guards against the same where no daemon has lived to remember the beginning. */
        @Test
        void streamsAreRefusedAfterTheLossOfAllDaemons() throws Exception {
            begin();
            fleet.startTargets(StreamFleet.NEW);
            fleet.killDaemons();
            fleet.removeTargets(StreamFleet.OLD);
            fleet.startDaemons(false);
            takeUp(callers);
            assertNoneJoined();
            assertRefusedAsNotRun(callers);
        }
    }

    /** Scenario: all daemons are lost at once, and both versions serve. */
    @Nested
    final class LossOfAllDaemons {
        /** Guards against streams that go on anywhere because nobody remembers their beginning. */
        @Test
        void streamsGoOnAtTheirVersion() throws Exception {
            fleet.startTargets(StreamFleet.NEW);
            begin();
            fleet.settle();
            fleet.killDaemons();
            fleet.startDaemons(false);
            takeUp(callers);
            assertNoneJoined();
            assertMostAreWhole(callers);
        }

        /** Guards against the refusal of all streams of a service that has one version. */
        @Test
        void streamsOfTheOnlyVersionGoOn() throws Exception {
            begin();
            fleet.killDaemons();
            fleet.startDaemons(false);
            takeUp(callers);
            assertMostAreWhole(callers);
        }

        /** Guards against a beginning that the store has forgotten, and that is guessed. */
        @Test
        void noStreamGoesOnElsewhereAfterARestore() throws Exception {
            fleet.store.takeCopy();
            fleet.startTargets(StreamFleet.NEW);
            begin();
            fleet.settle();
            fleet.killDaemons();
            fleet.store.restoreCopy();
            fleet.registerTargets();
            fleet.startDaemons(false);
            takeUp(callers);
            assertNoneJoined();
        }
    }
}
