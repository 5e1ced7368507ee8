package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TargetHealthTest {
    private static final long REST = TimeUnit.MILLISECONDS.toNanos(500);

    private final TargetHealth health = new TargetHealth();

    private void record(Verdict verdict, int times, long now) {
        for (int i = 0; i < times; i++) {
            health.record(verdict, now);
        }
    }

    /** Pattern: a runner fails part of its requests ({@code srv_grey}). */
    @Nested
    final class GreyTarget {
        /** Guards against a target that fails half of its requests and continues to get them. */
        @Test
        void restsWhenHalfOfTheLastCallsFailed() {
            for (int i = 0; i < 4; i++) {
                health.record(Verdict.FAILED, 0);
                health.record(Verdict.GOOD, 0);
            }
            assertTrue(health.permits(0));
            health.record(Verdict.FAILED, 0);
            assertFalse(health.permits(0));
        }

        /** Guards against ejecting a target for the usual rate of failures. */
        @Test
        void oneFailureInSevenIsBorne() {
            for (int i = 0; i < 20; i++) {
                record(Verdict.FAILED, 1, 0);
                record(Verdict.GOOD, 6, 0);
            }
            assertEquals(HealthState.SOUND, health.state(0));
        }
    }

    /** Pattern: a runner crashes and restarts ({@code srv_crash}). */
    @Nested
    final class LostTarget {
        /** Guards against a burst of requests to a target that may still be down. */
        @Test
        void oneCallAtATimeDecidesAfterTheRest() {
            health.record(Verdict.UNREACHABLE, 0);
            assertFalse(health.permits(REST - 1));
            assertTrue(health.permits(REST));
            health.sent(REST);
            assertFalse(health.permits(REST));
            health.record(Verdict.GOOD, REST);
            assertEquals(HealthState.SOUND, health.state(REST));
        }

        /** Guards against frequent probes of a target that stays down. */
        @Test
        void restGrowsWithEachFailedTrial() {
            health.record(Verdict.UNREACHABLE, 0);
            health.sent(REST);
            health.record(Verdict.UNREACHABLE, REST);
            assertFalse(health.permits(2 * REST));
            assertTrue(health.permits(3 * REST));
        }

        /**
         * Guards against a probation that never ends because the caller of the probe disconnected.
         */
        @Test
        void callThatProvesNothingFreesTheTrial() {
            health.record(Verdict.UNREACHABLE, 0);
            assertTrue(health.permits(REST));
            health.sent(REST);
            health.record(Verdict.NEUTRAL, REST);
            assertTrue(health.permits(REST));
        }
    }
}
