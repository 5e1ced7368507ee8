package org.godwithoist.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.bundle.FencingMode;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against two daemons that send orders to the engines of a pool at the same time. */
class OrderLeaseTest {
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");

    private final VirtualTicker ticker = new VirtualTicker();
    private OrderLease first;
    private OrderLease second;

    @BeforeEach
    void start() {
        first = new OrderLease(A, ticker);
        second = new OrderLease(B, ticker);
        first.observe(Optional.empty());
        first.written(first.proposal(), ticker.nanos());
    }

    private void takeOver() {
        second.observe(Optional.of(new OrderLease.Holding(A, 1, 0)));
        ticker.advance(OrderLease.DURATION.plusMillis(500));
        second.written(second.proposal(), ticker.nanos());
    }

    @Nested
    class WhileTheHolderRenews {
        @Test
        void noOtherDaemonTakesTheLease() {
            second.observe(Optional.of(new OrderLease.Holding(A, 1, 0)));
            ticker.advance(Duration.ofSeconds(5));
            second.observe(Optional.of(new OrderLease.Holding(A, 1, 1)));
            ticker.advance(Duration.ofSeconds(5));
            assertEquals(OrderLease.Step.WAIT, second.next());
        }

        @Test
        void theHolderRenewsInTime() {
            ticker.advance(OrderLease.RENEW_AFTER);
            assertEquals(OrderLease.Step.RENEW, first.next());
        }
    }

    @Nested
    class WhenTheHolderIsPaused {
        @Test
        void itMayNotOrderAfterItsLease() {
            ticker.advance(OrderLease.DURATION);
            assertFalse(first.mayOrder());
        }

        @Test
        void theNextHolderHasAHigherFencingNumber() {
            takeOver();
            assertTrue(second.mayOrder(FencingMode.CHECKED));
            assertTrue(second.fencing() > first.fencing());
        }

        @Test
        void theNextHolderWaitsWhereFencingIsIgnored() {
            takeOver();
            assertFalse(second.mayOrder(FencingMode.IGNORED));
            for (int i = 0; i < 15; i++) {
                ticker.advance(OrderLease.RENEW_AFTER);
                second.written(second.proposal(), ticker.nanos());
            }
            assertTrue(second.mayOrder(FencingMode.IGNORED));
        }

        @Test
        void itLosesTheLeaseWhenItSeesTheNextHolder() {
            takeOver();
            first.observe(Optional.of(new OrderLease.Holding(B, 2, 0)));
            assertFalse(first.mayOrder());
            assertEquals(OrderLease.Step.WAIT, first.next());
        }
    }
}
