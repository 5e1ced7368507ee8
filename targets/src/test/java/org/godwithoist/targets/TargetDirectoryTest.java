package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TargetDirectoryTest {
    private final VirtualTicker ticker = new VirtualTicker();
    private final TargetDirectory directory = new TargetDirectory(ticker);

    private Target target(int number) {
        return directory.targets(Samples.MODELS).stream()
                .filter(t -> t.id().equals(Samples.entry(number).id()))
                .findFirst()
                .orElseThrow();
    }

    @BeforeEach
    void readInitialList() {
        directory.replaceAll(List.of(Samples.entry(1), Samples.entry(2)));
    }

    private int size() {
        return directory.targets(Samples.MODELS).size();
    }

    /** Scenario: entries expire while the store is down ({@code platform_down} with lapse). */
    @Nested
    final class StoreRecovery {
        /**
         * Guards against rejecting all requests because entries expired while the store was
         * unavailable.
         */
        @Test
        void expiredEntriesAreKeptDuringTheRelistGrace() {
            directory.storeUnavailable();
            directory.storeAvailable();
            directory.replaceAll(List.of());
            ticker.advance(TargetDirectory.RELIST_GRACE.minusMillis(1));
            directory.removeMissing();
            assertEquals(2, size());
        }

        /** Guards against requests to a target that was removed while the store was unavailable. */
        @Test
        void entriesMissingAfterTheGraceAreRemoved() {
            directory.storeUnavailable();
            directory.storeAvailable();
            directory.replaceAll(List.of(Samples.entry(1)));
            ticker.advance(TargetDirectory.RELIST_GRACE);
            directory.removeMissing();
            assertEquals(1, size());
        }

        /**
         * Guards against requests to a target that left while this daemon alone had lost the store.
         * Seen as DRAIN on scale-2 of bench-ops.
         */
        @Test
        void entryIsNotKeptIfMostOthersAreListed() {
            directory.put(Samples.entry(3));
            directory.storeUnavailable();
            directory.storeAvailable();
            Target missing = directory.targets(Samples.MODELS).get(0);
            directory.remove(missing.id());
            assertEquals(2, size());
            assertFalse(directory.targets(Samples.MODELS).contains(missing));
            directory.put(missing.entry());
            assertTrue(directory.targets(Samples.MODELS).contains(missing));
        }

        /**
         * Guards against a daemon without targets because the store went away again within the
         * grace. Found by reading (review of issue 27).
         */
        @Test
        void expiredEntriesAreKeptIfTheStoreGoesAwayAgain() {
            directory.storeUnavailable();
            directory.storeAvailable();
            directory.replaceAll(List.of());
            directory.storeUnavailable();
            ticker.advance(TargetDirectory.RELIST_GRACE);
            directory.removeMissing();
            assertEquals(2, size());
            directory.storeAvailable();
            ticker.advance(TargetDirectory.RELIST_GRACE);
            directory.removeMissing();
            assertEquals(0, size());
        }

        /** Guards against removing a target that is listed again. */
        @Test
        void relistedEntriesAreKept() {
            directory.storeUnavailable();
            directory.storeAvailable();
            directory.replaceAll(List.of());
            directory.put(Samples.entry(2));
            ticker.advance(TargetDirectory.RELIST_GRACE);
            directory.removeMissing();
            assertEquals(1, size());
        }
    }

    /** Scenario: the store is restored from an older copy ({@code platform_down}, restored). */
    @Nested
    final class RestoredStore {
        /** Guards against requests to a target that left before the restore. */
        @Test
        void targetThatLeftIsNotUsedAgain() {
            directory.remove(Samples.entry(1).id());
            directory.replaceAllByRestored(List.of(Samples.entry(1), Samples.entry(2)));
            assertEquals(1, size());
        }

        /** Guards against a running target that is never used again. */
        @Test
        void targetThatIsStillListedAfterTheHoldTimeIsUsed() {
            directory.remove(Samples.entry(1).id());
            directory.replaceAllByRestored(List.of(Samples.entry(1), Samples.entry(2)));
            ticker.advance(DepartedTargets.HOLD_TIME);
            directory.removeMissing();
            assertEquals(2, size());
        }

        /**
         * Guards against a target that left and is used, because the restored store dropped its
         * history and the table was read again. Found by reading.
         */
        @Test
        void targetThatLeftIsNotUsedAfterAnotherSnapshot() {
            directory.put(Samples.draining(2));
            directory.remove(Samples.entry(1).id());
            directory.remove(Samples.entry(2).id());
            directory.put(Samples.entry(3));
            List<TargetEntry> copy = List.of(Samples.entry(1), Samples.entry(2), Samples.entry(3));
            directory.replaceAllByRestored(copy);
            directory.replaceAll(copy);
            assertEquals(1, size());
            ticker.advance(DepartedTargets.HOLD_TIME);
            directory.removeMissing();
            directory.replaceAll(copy);
            assertEquals(2, size());
        }

        /** Guards against a held entry that is used although the store removed it. */
        @Test
        void heldEntryThatIsRemovedIsNotUsed() {
            directory.remove(Samples.entry(1).id());
            directory.replaceAllByRestored(List.of(Samples.entry(1), Samples.entry(2)));
            directory.remove(Samples.entry(1).id());
            ticker.advance(DepartedTargets.HOLD_TIME);
            directory.removeMissing();
            assertEquals(1, size());
        }

        /** Guards against a target that registers again and waits for the hold time. */
        @Test
        void targetThatRegistersAgainIsUsed() {
            directory.remove(Samples.entry(1).id());
            directory.replaceAllByRestored(List.of(Samples.entry(1), Samples.entry(2)));
            directory.put(Samples.entry(1));
            assertEquals(2, size());
        }

        /** Guards against a restarted target that counts as the one that left. */
        @Test
        void anotherIncarnationIsUsed() {
            directory.remove(Samples.entry(1).id());
            directory.replaceAllByRestored(List.of(Samples.restarted(1), Samples.entry(2)));
            assertEquals(2, size());
        }

        /** Guards against requests to a target whose draining the copy does not know. */
        @Test
        void drainingTargetIsNotReadyAgain() {
            directory.put(Samples.draining(1));
            directory.replaceAllByRestored(List.of(Samples.entry(1), Samples.entry(2)));
            assertTrue(target(1).isGoingAway());
            directory.put(Samples.restarted(1));
            assertFalse(target(1).isGoingAway());
        }

        /** Guards against a drained target that is used because its entry had been removed. */
        @Test
        void drainedTargetIsNeverUsedAgain() {
            directory.put(Samples.draining(1));
            directory.remove(Samples.entry(1).id());
            directory.replaceAllByRestored(List.of(Samples.entry(1), Samples.entry(2)));
            ticker.advance(DepartedTargets.HOLD_TIME);
            directory.removeMissing();
            assertEquals(1, size());
        }

        /** Guards against rejecting requests because targets registered after the copy. */
        @Test
        void targetsThatTheCopyLacksAreKeptForTheGrace() {
            directory.replaceAllByRestored(List.of());
            ticker.advance(TargetDirectory.RELIST_GRACE.minusMillis(1));
            directory.removeMissing();
            assertEquals(2, size());
            ticker.advance(Duration.ofMillis(1));
            directory.removeMissing();
            assertEquals(0, size());
        }
    }

    @Nested
    final class StoreAvailable {
        /** Guards against requests to a target whose entry was removed. */
        @Test
        void removedEntryIsRemovedImmediately() {
            Target target = directory.targets(Samples.MODELS).get(0);
            directory.remove(target.id());
            assertEquals(1, size());
            assertTrue(target.isRemoved());
        }

        /** Guards against keeping the state of a target that restarted under the same id. */
        @Test
        void newIncarnationIsANewTarget() {
            Target before = byNumber(1);
            directory.put(Samples.restarted(1));
            assertNotSame(before, byNumber(1));
            assertTrue(before.isRemoved());
            assertFalse(byNumber(1).isRemoved());
        }

        /** Guards against importing a prefix from an engine that cannot have cached it yet. */
        @Test
        void onlyTargetsOfTheInitialListHaveFilledCaches() {
            directory.put(Samples.entry(3));
            assertTrue(byNumber(1).prefixCacheFilled());
            assertFalse(byNumber(3).prefixCacheFilled());
            ticker.advance(Duration.ofSeconds(12));
            assertTrue(byNumber(3).prefixCacheFilled());
        }

        private Target byNumber(int number) {
            return directory.targets(Samples.MODELS).stream()
                    .filter(t -> t.id().equals(Samples.entry(number).id()))
                    .findFirst()
                    .orElseThrow();
        }
    }

    /** Scenario: a target announces in a response that it is leaving, before the store lists it. */
    @Nested
    final class Leaving {
        /** Guards against an outdated entry of the store that brings a leaving target back. */
        @Test
        void entryOfTheSameIncarnationDoesNotBringItBack() {
            assertTrue(directory.recordLeaving(target(1)));
            assertFalse(directory.recordLeaving(target(1)));
            directory.put(Samples.entry(1));
            directory.replaceAll(List.of(Samples.entry(1), Samples.entry(2)));
            assertTrue(target(1).isLeaving());
            assertFalse(target(2).isLeaving());
        }

        /**
         * Guards against new requests to a leaving target whose entry expired in an outage of the
         * store and is listed again while the target drains.
         */
        @Test
        void relistedEntryOfTheSameIncarnationIsStillLeaving() {
            directory.recordLeaving(target(1));
            directory.remove(Samples.entry(1).id());
            directory.put(Samples.entry(1));
            assertTrue(target(1).isLeaving());
        }

        /** Guards against a target that stays out of service after it has started again. */
        @Test
        void nextIncarnationIsNotLeaving() {
            directory.recordLeaving(target(1));
            directory.put(Samples.restarted(1));
            assertFalse(target(1).isLeaving());
        }

        /** Guards against requests of a daemon that has not received a response of the target. */
        @Test
        void announcementToAnotherDaemonCounts() {
            TargetDirectory other = new TargetDirectory(ticker);
            other.replaceAll(List.of(Samples.entry(1), Samples.restarted(2)));
            directory.recordLeaving(target(1));
            directory.recordLeaving(target(2));
            other.recordPeerLeaving(directory.report(1, 1).leaving());
            List<Boolean> leaving =
                    other.targets(Samples.MODELS).stream()
                            .sorted((a, b) -> a.id().value().compareTo(b.id().value()))
                            .map(Target::isLeaving)
                            .toList();
            assertEquals(List.of(true, false), leaving);
        }

        /** Guards against reports that grow with every target that has ever left. */
        @Test
        void announcementsEnd() {
            directory.recordLeaving(target(1));
            ticker.advance(LeavingTargets.ANNOUNCEMENT_PERIOD);
            assertTrue(directory.report(1, 1).leaving().isEmpty());
        }
    }

    /** Scenario: the targets of a service fail after too many rejections. */
    @Nested
    final class RejectionLimitOfAService {
        private static final RejectionLimit LIMIT = new RejectionLimit(3);

        private void respond(int number, LimitStatement<RejectionLimit> statement) {
            target(number).limits().recordRejectionLimit(statement, ticker.nanos());
        }

        /** Guards against a burst at a target that has started again and not responded yet. */
        @Test
        void newTargetHasTheLimitOfTheOthers() {
            directory.replaceAll(List.of(Samples.entry(1), Samples.entry(2)));
            respond(1, LimitStatement.of(LIMIT));
            directory.put(Samples.restarted(2));
            assertEquals(Optional.of(LIMIT), target(2).limits().rejections());
            assertEquals(1, directory.report(1, 1).rejectionNews().size());
        }

        /** Guards against targets that keep each other's limits alive. */
        @Test
        void limitEndsAfterTheLastStatement() {
            directory.replaceAll(List.of(Samples.entry(1), Samples.entry(2)));
            respond(1, LimitStatement.of(LIMIT));
            for (int i = 0; i < 100; i++) {
                directory.updateLimits();
                ticker.advance(StatedLimit.EXPIRY.dividedBy(100));
            }
            directory.updateLimits();
            assertEquals(0, directory.rejectionLimitedTargets());
        }

        /** Guards against limits for a target that states none. */
        @Test
        void targetThatRespondsWithoutALimitHasNone() {
            directory.replaceAll(List.of(Samples.entry(1), Samples.entry(2)));
            respond(1, LimitStatement.of(LIMIT));
            directory.updateLimits();
            ticker.advance(Duration.ofSeconds(1));
            respond(1, LimitStatement.of(LIMIT));
            respond(2, LimitStatement.none());
            directory.updateLimits();
            assertEquals(Optional.empty(), target(2).limits().rejections());
        }
    }

    /** Scenario: other daemons tell which targets limit their requests. */
    @Nested
    final class RateLimitNews {
        private static LimitNews<RateLimit> news(int number, long startedAt) {
            return new LimitNews<>(
                    new TargetIncarnation(Samples.entry(number).id(), startedAt),
                    Optional.of(new RateLimit(500)),
                    Duration.ZERO);
        }

        private void list(int number, long startedAt) {
            TargetEntry e = Samples.entry(number);
            directory.put(
                    new TargetEntry(
                            e.id(),
                            e.service(),
                            e.endpoint(),
                            e.domain(),
                            e.slots(),
                            false,
                            Duration.ZERO,
                            startedAt));
        }

        /** Guards against news that are lost because the targets do not state their starts. */
        @Test
        void startsNeedNotBeKnown() {
            list(1, 0);
            directory.recordRateNews(List.of(news(1, 0)));
            assertEquals(Optional.of(new RateLimit(500)), target(1).limits().rate());
            assertEquals(1, directory.report(1, 1).rateNews().size());
        }

        /** Guards against a limit of an earlier incarnation. */
        @Test
        void newsOfAnotherIncarnationAreIgnored() {
            list(1, 7);
            directory.recordRateNews(List.of(news(1, 6)));
            assertEquals(Optional.empty(), target(1).limits().rate());
        }
    }
}
