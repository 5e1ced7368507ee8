package org.godwithoist.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests when a holder reports, and how it treats the time in which it sends no reports. */
class IdleHolderTest {
    private static final ShardId SHARD = new ShardId(new PoolId("p"), 0);
    private static final TargetId TARGET = new TargetId("t");

    private final VirtualTicker clock = new VirtualTicker();
    private int reserved;
    private final SlotCache cache =
            new SlotCache(SHARD, 1, AdmissionTiming.DEFAULT, clock, new FakePolicy());

    private final class FakePolicy implements SlotPolicy {
        @Override
        public boolean acceptsWork(TargetId target) {
            return true;
        }

        @Override
        public int reservedHeld(TargetId target) {
            return reserved;
        }

        @Override
        public boolean inContactWithAll() {
            return true;
        }

        @Override
        public boolean reservedFitWithoutOwner(TargetId target, long since) {
            return true;
        }
    }

    @BeforeEach
    void setOwner() {
        clock.advance(Duration.ofHours(1));
        cache.setEpoch(1);
    }

    private void exchange(boolean open) {
        SlotReport r = cache.report();
        var status = new SlotReportResponse.TargetStatus(TARGET, open, false, Duration.ZERO, 0, "");
        cache.onResponse(
                r,
                new SlotReportResponse(
                        SHARD,
                        SlotReportResponse.Status.ACCEPTED,
                        1,
                        clock.nanos(),
                        List.of(),
                        List.of(status)));
    }

    /** Checks every 100 ms and returns how many reports were due; each one gets a response. */
    private int countReports(Duration duration, boolean open) {
        int due = 0;
        for (long i = 0; i < duration.toMillis() / 100; i++) {
            clock.advance(Duration.ofMillis(100));
            if (cache.reportDue()) {
                due++;
                exchange(open);
            }
        }
        return due;
    }

    @Nested
    class WithoutSlots {
        /** Guards against traffic for shards that a daemon does not use. */
        @Test
        void sendsNoReportOnceTheOwnerKnowsThatItIsIdle() {
            assertTrue(cache.reportDue(), "a new owner needs the first report");
            exchange(false);
            assertEquals(0, countReports(Duration.ofMinutes(1), false));
        }

        /**
         * Guards against an owner that keeps counting use that has ended, because the last report
         * was lost.
         */
        @Test
        void resendsALostReport() {
            cache.report();
            clock.advance(Duration.ofSeconds(2));
            assertTrue(cache.reportDue());
        }

        /** Guards against a holder that does not report to a new owner. */
        @Test
        void reportsToANewOwner() {
            exchange(false);
            cache.setEpoch(2);
            assertTrue(cache.reportDue());
        }

        /**
         * Guards against reserved slots used without the owner only because no report was sent to
         * it.
         */
        @Test
        void idleHolderDoesNotAssumeAnUnavailableOwner() {
            exchange(false);
            clock.advance(Duration.ofMinutes(1));
            reserved = 1;
            assertEquals(Optional.empty(), cache.tryAcquire(TARGET));
        }
    }

    @Nested
    class WithReservedSlots {
        @BeforeEach
        void openReservedSlot() {
            reserved = 1;
            exchange(true);
        }

        /** Guards against reserved slots that are closed because they are unused. */
        @Test
        void keepsUnusedSlotsOpen() {
            assertTrue(countReports(Duration.ofMinutes(1), true) >= 28);
            assertTrue(cache.tryAcquire(TARGET).isPresent());
        }

        /** Guards against reserved slots that stay closed although the owner is unavailable. */
        @Test
        void mayBeUsedWithoutTheOwnerOnceReportsGetNoResponse() {
            clock.advance(Duration.ofSeconds(2));
            cache.report();
            clock.advance(Duration.ofSeconds(15));
            assertEquals(Optional.empty(), cache.tryAcquire(TARGET));
            clock.advance(Duration.ofSeconds(3));
            assertTrue(cache.tryAcquire(TARGET).isPresent());
        }

        /**
         * Guards against reserved slots that an owner keeps counting for a holder that no longer
         * reports.
         */
        @Test
        void reportsTwiceAfterLosingItsReservedSlots() {
            reserved = 0;
            assertEquals(2, countReports(Duration.ofSeconds(20), false));
        }
    }

    @Nested
    class WithSlotsInUse {
        /**
         * Guards against use that an owner no longer counts as certain, and against unnecessary
         * reports.
         */
        @Test
        void reportsEveryTwoSecondsWhileNothingChanges() {
            reserved = 1;
            exchange(true);
            Slot slot = cache.tryAcquire(TARGET).orElseThrow();
            assertTrue(slot.use());
            exchange(false);
            reserved = 0;
            assertEquals(10, countReports(Duration.ofSeconds(20), false));
            slot.release(Slot.Outcome.COMPLETED, Duration.ofMillis(1));
            clock.advance(Duration.ofMillis(500));
            assertTrue(cache.reportDue());
            exchange(false);
            assertFalse(cache.reportDue());
        }
    }
}
