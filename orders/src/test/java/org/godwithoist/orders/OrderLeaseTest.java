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
        first.recordWrite(first.nextRecord(), ticker.nanos());
    }

    private void takeOver() {
        second.observe(Optional.of(new OrderLease.LeaseRecord(A, 1, 0)));
        ticker.advance(OrderLease.DURATION.plusMillis(500));
        second.recordWrite(second.nextRecord(), ticker.nanos());
    }

    @Nested
    class WhileTheHolderRenews {
        @Test
        void noOtherDaemonAcquiresTheLease() {
            second.observe(Optional.of(new OrderLease.LeaseRecord(A, 1, 0)));
            ticker.advance(Duration.ofSeconds(5));
            second.observe(Optional.of(new OrderLease.LeaseRecord(A, 1, 1)));
            ticker.advance(Duration.ofSeconds(5));
            assertEquals(OrderLease.Step.WAIT, second.nextStep());
        }

        @Test
        void theHolderRenewsInTime() {
            ticker.advance(OrderLease.RENEWAL_INTERVAL);
            assertEquals(OrderLease.Step.RENEW, first.nextStep());
        }
    }

    @Nested
    class WhenTheHolderIsPaused {
        @Test
        void itMayNotSendOrdersAfterItsLeaseExpires() {
            ticker.advance(OrderLease.DURATION);
            assertFalse(first.maySendOrders());
        }

        @Test
        void theNextHolderHasAHigherFencingNumber() {
            takeOver();
            assertTrue(second.maySendOrders(FencingMode.CHECKED));
            assertTrue(second.fencingNumber() > first.fencingNumber());
        }

        @Test
        void theNextHolderWaitsWhereFencingIsIgnored() {
            takeOver();
            assertFalse(second.maySendOrders(FencingMode.IGNORED));
            for (int i = 0; i < 15; i++) {
                ticker.advance(OrderLease.RENEWAL_INTERVAL);
                second.recordWrite(second.nextRecord(), ticker.nanos());
            }
            assertTrue(second.maySendOrders(FencingMode.IGNORED));
        }

        @Test
        void itLosesTheLeaseWhenItReadsTheRecordOfTheNextHolder() {
            takeOver();
            first.observe(Optional.of(new OrderLease.LeaseRecord(B, 2, 0)));
            assertFalse(first.maySendOrders());
            assertEquals(OrderLease.Step.WAIT, first.nextStep());
        }
    }
}
