package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.RowStoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests what a daemon knows after the store was restored from an older copy, and the operator and
 * the targets have written theirs again.
 */
final class RestoredStoreTest {
    /** Unrelated rows by which the counter of versions is moved. */
    private static final int UNRELATED_ROWS = 30;

    private final RowStoreStandin store = new RowStoreStandin();
    private final List<StoreReader> readers = new ArrayList<>();

    RestoredStoreTest() throws IOException {
        LostChange.writeInitialRows(store);
        store.takeCopy();
    }

    @AfterEach
    void close() throws IOException {
        for (StoreReader r : readers) {
            r.close();
        }
        store.close();
    }

    /** The daemon that reads, and what it notices of the restore. */
    enum Reader {
        LEADER {
            @Override
            void suspend(RowStoreStandin store) {
                store.setDown(true);
            }

            @Override
            void resume(RowStoreStandin store) {
                store.setDown(false);
            }
        },
        MEMBER {
            @Override
            StoreReader start(RestoredStoreTest test) throws IOException {
                StoreReader leader = LEADER.start(test);
                StoreReader member = test.start(StoreReader.member(test.store, leader));
                EdgeFixture.await(
                        "updates from the leader",
                        () -> member.logLines("\"source\":\"LEADER\"") >= 2);
                return member;
            }

            @Override
            void suspend(RowStoreStandin store) {
                store.setDown(true);
            }

            @Override
            void resume(RowStoreStandin store) {
                store.setDown(false);
            }
        },
        CUT_OFF {
            @Override
            void suspend(RowStoreStandin store) {
                store.setUnresponsive(true);
            }

            @Override
            void resume(RowStoreStandin store) {
                store.setUnresponsive(false);
            }
        },
        FROZEN {
            @Override
            void suspend(RowStoreStandin store) {
                store.setStalled(true);
            }

            @Override
            void resume(RowStoreStandin store) {
                store.setStalled(false);
            }
        };

        StoreReader start(RestoredStoreTest test) throws IOException {
            return test.start(StoreReader.leader(test.store));
        }

        /** Keeps the daemon from reading. */
        abstract void suspend(RowStoreStandin store);

        abstract void resume(RowStoreStandin store);
    }

    private StoreReader start(StoreReader reader) {
        readers.add(reader);
        reader.awaitLoaded();
        return reader;
    }

    private void writeUnrelatedRows(int count) {
        for (int i = 0; i < count; i++) {
            store.put("other", "row-" + i, "{}");
        }
    }

    static Stream<Arguments> cases() {
        return Stream.of(Reader.values())
                .flatMap(
                        reader ->
                                Stream.of(LostChange.values())
                                        .map(change -> Arguments.of(reader, change)));
    }

    @Nested
    final class DaemonThatRunsOn {
        /** Makes the change, waits until the daemon has it, and restores the store without it. */
        private StoreReader loseChange(Reader kind, LostChange change) throws IOException {
            StoreReader reader = kind.start(RestoredStoreTest.this);
            change.make(store);
            reader.await(change);
            // Raises the known version above those of the changes after the restore.
            writeUnrelatedRows(UNRELATED_ROWS);
            Tasks.sleep(StoreReader.PROPAGATION_DELAY.dividedBy(2));
            kind.suspend(store);
            reader.awaitSuspended(kind == Reader.FROZEN);
            store.restoreCopy();
            return reader;
        }

        /**
         * Guards against a change that counts as known because its new version is below the old
         * one. Reported by operators as CONFIG.
         */
        @ParameterizedTest
        @MethodSource("org.godwithoist.edge.RestoredStoreTest#cases")
        void nextChangeIsInForceIfTheCounterHasPassedTheKnownVersion(Reader kind, LostChange change)
                throws IOException {
            StoreReader reader = loseChange(kind, change);
            change.make(store);
            change.makeNext(store);
            writeUnrelatedRows(2 * UNRELATED_ROWS);
            kind.resume(store);
            reader.awaitInTime("next " + change, () -> change.isNextInForce(reader));
            assertTrue(change.isInForce(reader), change::name);
        }

        /** Guards against a change that is not in force until it is written again. */
        @ParameterizedTest
        @MethodSource("org.godwithoist.edge.RestoredStoreTest#cases")
        void changeStaysInForceWhileTheStoreLacksIt(Reader kind, LostChange change)
                throws IOException {
            StoreReader reader = loseChange(kind, change);
            kind.resume(store);
            // The daemon reads the copy before the change is written again.
            reader.assertStays(change, StoreReader.PROPAGATION_DELAY.dividedBy(2));
            change.make(store);
            change.makeNext(store);
            reader.awaitInTime("next " + change, () -> change.isNextInForce(reader));
            assertTrue(change.isInForce(reader), change::name);
        }
    }

    @Nested
    final class DaemonThatJustStarted {
        /** Guards against a daemon that keeps what it has read in the older copy. */
        @ParameterizedTest
        @EnumSource
        void changeIsInForceOnceItIsWrittenAgain(LostChange change) throws IOException {
            change.make(store);
            store.restoreCopy();
            StoreReader reader = start(StoreReader.leader(store));
            change.make(store);
            reader.awaitInTime(change.name(), () -> change.isInForce(reader));
        }
    }

    @Nested
    final class EvacuationThatIsNotWrittenAgain {
        /** Guards against a domain that stays out of service for good after it was taken back. */
        @Test
        void domainIsInServiceAfterABoundedTime() throws IOException {
            StoreReader reader = start(StoreReader.leader(store));
            LostChange.EVACUATION.make(store);
            reader.await(LostChange.EVACUATION);
            store.restoreCopy();
            reader.assertStays(LostChange.EVACUATION, StoreReader.PROPAGATION_DELAY.dividedBy(2));
            reader.awaitWithin(
                    StoreReader.PROPAGATION_DELAY.multipliedBy(4),
                    "end of the evacuation",
                    () -> reader.outOfService().isEmpty());
        }
    }

    @Nested
    final class OddEras {
        private static final int CHANGES_OF_THE_ERA = 40;

        private static final Duration ERA_INTERVAL = Duration.ofMillis(50);
        private static final int MAX_REQUESTS = 60;

        /**
         * Guards against a daemon that reads snapshots without end, or stops following, because two
         * stores answer by turns.
         */
        @Test
        void storesThatAnswerByTurnsCostFewRequests() throws IOException {
            StoreReader reader = start(StoreReader.leader(store));
            int before = store.requests();
            for (int i = 0; i < CHANGES_OF_THE_ERA; i++) {
                store.setEra(2 + i % 2);
                Tasks.sleep(ERA_INTERVAL);
            }
            int requests = store.requests() - before;
            assertTrue(requests <= MAX_REQUESTS, requests + " requests");
            LostChange.CONFIGURATION.make(store);
            reader.awaitInTime("configuration", () -> LostChange.CONFIGURATION.isInForce(reader));
            assertEquals(1, reader.logLines("\"oddity\":\"OLDER\""));
        }

        /** Guards against a daemon that never follows a store whose era has become smaller. */
        @Test
        void smallerEraIsTakenAfterABoundedTime() throws IOException {
            store.setEra(7);
            StoreReader reader = start(StoreReader.leader(store));
            store.setEra(3);
            LostChange.CONFIGURATION.make(store);
            reader.awaitWithin(
                    StoreReader.PROPAGATION_DELAY.multipliedBy(4),
                    "configuration",
                    () -> LostChange.CONFIGURATION.isInForce(reader));
        }
    }
}
