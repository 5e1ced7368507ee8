package org.godwithoist.targets;

import java.time.Duration;

/**
 * Health of one target, judged by the outcomes of its last attempts. An unreachable target is
 * ejected immediately; one that fails some of its requests is ejected when half of the last ones
 * failed. Not thread-safe.
 */
final class TargetHealth {
    private static final int WINDOW = 10;
    private static final int FAULTS_TO_REST = 5;
    private static final long FIRST_REST_NANOS = Duration.ofMillis(500).toNanos();
    private static final long LONGEST_REST_NANOS = Duration.ofSeconds(4).toNanos();

    private int outcomes;
    private HealthState state = HealthState.SOUND;
    private long restUntil;
    private long restNanos = FIRST_REST_NANOS;
    private boolean trying;

    HealthState state(long now) {
        if (state == HealthState.RESTING && restUntil - now <= 0) {
            state = HealthState.PROBATION;
            trying = false;
        }
        return state;
    }

    /**
     * Returns whether a request may be sent now. Does not reserve the request of a probation;
     * {@link #sent} does.
     */
    boolean permits(long time) {
        HealthState now = state(time);
        return now.mayGetCalls() && !(now == HealthState.PROBATION && trying);
    }

    void sent(long now) {
        if (state(now) == HealthState.PROBATION) {
            trying = true;
        }
    }

    void record(Verdict verdict, long now) {
        HealthState before = state(now);
        if (verdict == Verdict.NEUTRAL) {
            trying = false;
            return;
        }
        remember(verdict.isFault());
        if (before == HealthState.PROBATION) {
            endProbation(verdict, now);
            return;
        }
        boolean failing = Integer.bitCount(outcomes) >= FAULTS_TO_REST;
        if (before == HealthState.SOUND && (verdict == Verdict.UNREACHABLE || failing)) {
            rest(now);
        }
    }

    private void remember(boolean fault) {
        outcomes = ((outcomes << 1) | (fault ? 1 : 0)) & ((1 << WINDOW) - 1);
    }

    private void endProbation(Verdict verdict, long now) {
        trying = false;
        if (verdict.isFault()) {
            restNanos = Math.min(LONGEST_REST_NANOS, restNanos * 2);
            rest(now);
            return;
        }
        state = HealthState.SOUND;
        restNanos = FIRST_REST_NANOS;
        outcomes = 0;
    }

    private void rest(long now) {
        state = HealthState.RESTING;
        restUntil = now + restNanos;
    }
}
