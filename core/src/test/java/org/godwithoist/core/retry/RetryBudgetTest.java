package org.godwithoist.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private final VirtualTicker ticker = new VirtualTicker();
    private final RetryBudget budget = new RetryBudget(ticker, RetryBudget.Floor.BURST);

    private void recordRequests(int requests) {
        for (int i = 0; i < requests; i++) {
            budget.recordRequest();
        }
    }

    private int takeAllRetries() {
        int retries = 0;
        while (budget.tryAcquire()) {
            retries++;
        }
        return retries;
    }

    @Nested
    class WhenEveryRequestFails {
        /** Guards against retries that multiply the load of a busy daemon. */
        @Test
        void aTenthOfTheRequestsIsRetried() {
            recordRequests(1_000);
            assertEquals(100, takeAllRetries());
        }

        /** Guards against more than a tenth of retries over many overlapping windows. */
        @Test
        void aTenthIsRetriedOverAMinute() {
            int retries = 0;
            for (int s = 0; s < 60; s++) {
                recordRequests(200);
                retries += takeAllRetries();
                ticker.advance(Duration.ofSeconds(1));
            }
            assertEquals(60 * 200 / 10, retries, 200);
        }
    }

    @Nested
    class WithFewRequests {
        /** Guards against responses that break off because an idle daemon has no budget. */
        @Test
        void tenRetriesInTenSecondsArePermitted() {
            recordRequests(3);
            assertEquals(10, takeAllRetries());
            ticker.advance(Duration.ofSeconds(9));
            assertEquals(0, takeAllRetries());
            ticker.advance(Duration.ofSeconds(1));
            assertEquals(10, takeAllRetries());
        }
    }

    @Nested
    class WithASteadyFloor {
        /** Guards against a burst of retries at a service that just failed. */
        @Test
        void oneRetryInEachSecondIsPermitted() {
            RetryBudget steady = new RetryBudget(ticker, RetryBudget.Floor.STEADY);
            for (int s = 0; s < 20; s++) {
                assertTrue(steady.tryAcquire());
                assertFalse(steady.tryAcquire());
                ticker.advance(Duration.ofSeconds(1));
            }
        }
    }

    @Nested
    class AfterALongPause {
        /** Guards against subtracting expired counts twice after a pause of the process. */
        @Test
        void countsExpireOnce() {
            recordRequests(1_000);
            assertEquals(100, takeAllRetries());
            ticker.advance(Duration.ofHours(3));
            assertEquals(10, takeAllRetries());
            recordRequests(500);
            assertEquals(40, takeAllRetries());
        }
    }
}
