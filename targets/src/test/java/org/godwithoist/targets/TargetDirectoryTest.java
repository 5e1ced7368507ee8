package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TargetDirectoryTest {
    private final VirtualTicker ticker = new VirtualTicker();
    private final TargetDirectory directory = new TargetDirectory(ticker);

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
}
