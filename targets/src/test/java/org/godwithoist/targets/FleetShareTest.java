package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link FleetShare} and {@link RetryShare}. */
final class FleetShareTest {
    @Nested
    final class IntegerLimits {
        /** Guards against daemons that together send more requests than a cold target tolerates. */
        @Test
        void sharesAddUpToTheLimit() {
            for (int members : new int[] {1, 6, 8, 11, 72}) {
                for (int limit : new int[] {1, 5, 23, 24}) {
                    int sum = 0;
                    for (int rank = 0; rank < members; rank++) {
                        sum += new FleetShare(members, rank).of(limit, 17);
                    }
                    assertEquals(limit, sum, members + " members, limit " + limit);
                }
            }
        }
    }

    /** Scenario: responses are lost and clients retry immediately ({@code retry_abuse}). */
    @Nested
    final class Retries {
        private final VirtualTicker ticker = new VirtualTicker();
        private final RetryShare share =
                new RetryShare(
                        ticker, () -> new RetryShare.Budget(0.2, Duration.ofSeconds(10), 56));

        private int takeAllRetries(FleetShare fleet) {
            int taken = 0;
            while (share.tryRetry(fleet)) {
                taken++;
            }
            return taken;
        }

        /** Guards against a retry storm: all daemons together stay within the budget. */
        @Test
        void idleDaemonGetsItsShareOfTheExtraRetries() {
            assertTrue(takeAllRetries(new FleetShare(8, 0)) * 8 <= 56);
        }

        /**
         * Guards against questions about sound responses that use up the retries of failed ones.
         */
        @Test
        void confirmationsLeaveRetriesForFailedRequests() {
            FleetShare fleet = new FleetShare(8, 0);
            int confirmations = 0;
            while (share.tryConfirmation(fleet)) {
                confirmations++;
            }
            assertTrue(confirmations > 0);
            assertTrue(share.tryRetry(fleet));
            int taken = confirmations + 1 + takeAllRetries(fleet);
            assertTrue(taken * 8 <= 56, "taken: " + taken);
        }

        /** Guards against retries beyond the ratio in any window. */
        @Test
        void retriesGrowWithRequestsWithinTheWindow() {
            for (int i = 0; i < 100; i++) {
                share.recordRequest();
            }
            int taken = takeAllRetries(new FleetShare(56, 0));
            assertTrue(taken <= 21 && taken >= 15, "taken: " + taken);
            ticker.advance(Duration.ofSeconds(9));
            assertFalse(share.tryRetry(new FleetShare(56, 0)));
        }
    }
}
