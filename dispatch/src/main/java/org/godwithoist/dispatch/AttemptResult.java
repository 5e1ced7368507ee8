package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Result of one attempt.
 *
 * @param outcome how it ended
 * @param failure response of a target that failed the request; empty for other outcomes
 * @param lastEvent id of the last event that was sent to the caller; empty if there was none
 * @param timeToFirstByte time to the head of a successful response; empty if there was none
 * @param progress how far the target got with its response
 * @param detail description for the log
 */
public record AttemptResult(
        AttemptOutcome outcome,
        Optional<BufferedResponse> failure,
        OptionalLong lastEvent,
        Optional<Duration> timeToFirstByte,
        ResponseProgress progress,
        String detail) {
    /** Creates a result without a failure response. */
    public static AttemptResult of(AttemptOutcome outcome, OptionalLong lastEvent, String detail) {
        return new AttemptResult(
                outcome,
                Optional.empty(),
                lastEvent,
                Optional.empty(),
                ResponseProgress.NONE,
                detail);
    }

    /** Returns this result with the progress of a response whose head arrived after a time. */
    public AttemptResult withProgress(Duration headAfter, ResponseProgress reached) {
        return new AttemptResult(
                outcome, failure, lastEvent, Optional.of(headAfter), reached, detail);
    }

    /** Creates a result with outcome {@link AttemptOutcome#FAILURE_ANSWER}. */
    public static AttemptResult failure(BufferedResponse response) {
        String detail = "status " + response.head().status();
        return new AttemptResult(
                AttemptOutcome.FAILURE_ANSWER,
                Optional.of(response),
                OptionalLong.empty(),
                Optional.empty(),
                ResponseProgress.NONE,
                detail);
    }
}
