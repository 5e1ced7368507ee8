package org.godwithoist.targets;

import java.time.Duration;

/**
 * Health of one target, judged by the outcomes of its last attempts. An unreachable target is
 * ejected immediately; one that fails some of its requests is ejected when half of the last ones
 * failed. After the ejection, one probe decides: if it fails, the target is ejected again, for up
 * to twice as long. Not thread-safe.
 */
final class TargetHealth {
    private static final int WINDOW_ATTEMPTS = 10;
    private static final int FAILURES_TO_EJECT = 5;
    private static final long MIN_EJECTION_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MAX_EJECTION_NANOS = Duration.ofSeconds(4).toNanos();

    /** One bit for each of the last attempts, 1 for a failure; the lowest bit is the newest. */
    private int recentFailures;

    private HealthState state = HealthState.SOUND;
    private long ejectedUntil;
    private long ejectionNanos = MIN_EJECTION_NANOS;
    private boolean probeInFlight;

    HealthState state(long now) {
        if (state == HealthState.RESTING && ejectedUntil - now <= 0) {
            state = HealthState.PROBATION;
            probeInFlight = false;
        }
        return state;
    }

    /**
     * Returns whether a request may be sent now. Does not count the probe of a target on probation;
     * {@link #recordSent} does.
     */
    boolean permits(long now) {
        HealthState current = state(now);
        return current.acceptsRequests() && !(current == HealthState.PROBATION && probeInFlight);
    }

    void recordSent(long now) {
        if (state(now) == HealthState.PROBATION) {
            probeInFlight = true;
        }
    }

    void record(Verdict verdict, long now) {
        HealthState before = state(now);
        if (verdict == Verdict.NEUTRAL) {
            probeInFlight = false;
            return;
        }
        recordOutcome(verdict.isTargetFailure());
        if (before == HealthState.PROBATION) {
            endProbation(verdict, now);
            return;
        }
        boolean failing = Integer.bitCount(recentFailures) >= FAILURES_TO_EJECT;
        if (before == HealthState.SOUND && (verdict == Verdict.UNREACHABLE || failing)) {
            eject(now);
        }
    }

    private void recordOutcome(boolean failed) {
        recentFailures = ((recentFailures << 1) | (failed ? 1 : 0)) & ((1 << WINDOW_ATTEMPTS) - 1);
    }

    private void endProbation(Verdict verdict, long now) {
        probeInFlight = false;
        if (verdict.isTargetFailure()) {
            ejectionNanos = Math.min(MAX_EJECTION_NANOS, ejectionNanos * 2);
            eject(now);
            return;
        }
        state = HealthState.SOUND;
        ejectionNanos = MIN_EJECTION_NANOS;
        recentFailures = 0;
    }

    private void eject(long now) {
        state = HealthState.RESTING;
        ejectedUntil = now + ejectionNanos;
    }
}
