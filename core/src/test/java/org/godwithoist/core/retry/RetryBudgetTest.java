package org.godwithoist.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private final VirtualTicker clock = new VirtualTicker();
    private final RetryBudget budget = new RetryBudget(clock, RetryBudget.Floor.BURST);

    private void accept(int requests) {
        for (int i = 0; i < requests; i++) {
            budget.accepted();
        }
    }

    private int takeAll() {
        int taken = 0;
        while (budget.tryRetry()) {
            taken++;
        }
        return taken;
    }

    @Nested
    class WhenEveryRequestFails {
        /** Guards against retries that multiply the load of a busy daemon. */
        @Test
        void aTenthOfTheRequestsIsRetried() {
            accept(1_000);
            assertEquals(100, takeAll());
        }

        /** Guards against more than a tenth of retries over many overlapping windows. */
        @Test
        void aTenthIsRetriedOverAMinute() {
            int taken = 0;
            for (int s = 0; s < 60; s++) {
                accept(200);
                taken += takeAll();
                clock.advance(Duration.ofSeconds(1));
            }
            assertEquals(60 * 200 / 10, taken, 200);
        }
    }

    @Nested
    class WithFewRequests {
        /** Guards against responses that break off because an idle daemon has no budget. */
        @Test
        void tenRetriesInTenSecondsArePermitted() {
            accept(3);
            assertEquals(10, takeAll());
            clock.advance(Duration.ofSeconds(9));
            assertEquals(0, takeAll());
            clock.advance(Duration.ofSeconds(1));
            assertEquals(10, takeAll());
        }
    }

    @Nested
    class WithASteadyFloor {
        /** Guards against a burst of retries at a service that just failed. */
        @Test
        void oneRetryInEachSecondIsPermitted() {
            RetryBudget steady = new RetryBudget(clock, RetryBudget.Floor.STEADY);
            for (int s = 0; s < 20; s++) {
                assertTrue(steady.tryRetry());
                assertFalse(steady.tryRetry());
                clock.advance(Duration.ofSeconds(1));
            }
        }
    }

    @Nested
    class AfterALongPause {
        /** Guards against expired counts that are subtracted twice after the process was paused. */
        @Test
        void theHistoryIsForgottenOnce() {
            accept(1_000);
            assertEquals(100, takeAll());
            clock.advance(Duration.ofHours(3));
            assertEquals(10, takeAll());
            accept(500);
            assertEquals(40, takeAll());
        }
    }
}
