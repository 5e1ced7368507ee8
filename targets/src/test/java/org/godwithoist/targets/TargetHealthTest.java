package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TargetHealthTest {
    private static final long MIN_EJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final TargetHealth health = new TargetHealth();

    private void record(Verdict verdict, int times, long now) {
        for (int i = 0; i < times; i++) {
            health.record(verdict, now);
        }
    }

    /** Scenario: a target fails some of its requests ({@code srv_grey}). */
    @Nested
    final class PartiallyFailingTarget {
        /** Guards against a target that fails half of its requests and continues to get them. */
        @Test
        void isEjectedWhenHalfOfTheLastRequestsFailed() {
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
        void oneFailureInSevenIsTolerated() {
            for (int i = 0; i < 20; i++) {
                record(Verdict.FAILED, 1, 0);
                record(Verdict.GOOD, 6, 0);
            }
            assertEquals(HealthState.SOUND, health.state(0));
        }
    }

    /** Scenario: a target crashes and restarts ({@code srv_crash}). */
    @Nested
    final class UnreachableTarget {
        /** Guards against a burst of requests to a target that may still be down. */
        @Test
        void singleProbeDecidesAfterTheEjection() {
            health.record(Verdict.UNREACHABLE, 0);
            assertFalse(health.permits(MIN_EJECTION_NANOS - 1));
            assertTrue(health.permits(MIN_EJECTION_NANOS));
            health.recordSent(MIN_EJECTION_NANOS);
            assertFalse(health.permits(MIN_EJECTION_NANOS));
            health.record(Verdict.GOOD, MIN_EJECTION_NANOS);
            assertEquals(HealthState.SOUND, health.state(MIN_EJECTION_NANOS));
        }

        /** Guards against frequent probes of a target that stays down. */
        @Test
        void ejectionGrowsWithEachFailedProbe() {
            health.record(Verdict.UNREACHABLE, 0);
            health.recordSent(MIN_EJECTION_NANOS);
            health.record(Verdict.UNREACHABLE, MIN_EJECTION_NANOS);
            assertFalse(health.permits(2 * MIN_EJECTION_NANOS));
            assertTrue(health.permits(3 * MIN_EJECTION_NANOS));
        }

        /**
         * Guards against a probation that never ends because the caller of the probe disconnected.
         */
        @Test
        void neutralResultPermitsAnotherProbe() {
            health.record(Verdict.UNREACHABLE, 0);
            assertTrue(health.permits(MIN_EJECTION_NANOS));
            health.recordSent(MIN_EJECTION_NANOS);
            health.record(Verdict.NEUTRAL, MIN_EJECTION_NANOS);
            assertTrue(health.permits(MIN_EJECTION_NANOS));
        }
    }
}
