package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.rollout.EvidenceRecorder;
import org.godwithoist.targets.Verdict;

/**
 * What one attempt shows of the version of its target: how it does if it is on trial, and that it
 * has begun a stream. Thread-safe.
 */
public final class AttemptEvidence {
    /** Evidence of an attempt that nobody records. */
    public static final AttemptEvidence NONE = new AttemptEvidence(Optional.empty(), () -> {});

    private final Optional<EvidenceRecorder.Attempt> attempt;
    private final Runnable onFirstEvent;

    /**
     * Creates evidence that is recorded.
     *
     * @param attempt receives what the attempt shows if the version is on trial
     * @param onFirstEvent called before the first event of a stream is passed on
     */
    AttemptEvidence(Optional<EvidenceRecorder.Attempt> attempt, Runnable onFirstEvent) {
        this.attempt = attempt;
        this.onFirstEvent = onFirstEvent;
    }

    /** Records that a successful response has begun, a time after the request was sent. */
    public void responded(Duration latency) {
        attempt.ifPresent(a -> a.responded(latency));
    }

    /** Records that an event of a stream is about to be passed on. */
    public void eventArrived() {
        onFirstEvent.run();
    }

    /**
     * Records the end of the attempt. A request whose deadline passed at the target counts as a
     * failure, since a version that is too slow shows itself in nothing else.
     */
    void ended(AttemptOutcome outcome, Duration took) {
        attempt.ifPresent(a -> end(a, outcome, took));
    }

    private static void end(
            EvidenceRecorder.Attempt attempt, AttemptOutcome outcome, Duration took) {
        if (outcome.verdict() == Verdict.FAILED || outcome == AttemptOutcome.TIMED_OUT) {
            attempt.failed();
        }
        if (outcome.verdict() == Verdict.GOOD) {
            attempt.responded(took);
        }
        attempt.ended();
    }
}
