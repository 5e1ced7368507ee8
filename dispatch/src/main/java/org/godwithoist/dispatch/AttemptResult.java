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
 * @param detail description for the log
 */
public record AttemptResult(
        AttemptOutcome outcome,
        Optional<BufferedResponse> failure,
        OptionalLong lastEvent,
        Optional<Duration> timeToFirstByte,
        String detail) {
    /** Creates a result without a failure response. */
    public static AttemptResult of(AttemptOutcome outcome, OptionalLong lastEvent, String detail) {
        return new AttemptResult(outcome, Optional.empty(), lastEvent, Optional.empty(), detail);
    }

    /** Returns this result with the time to the head of a successful response. */
    public AttemptResult withTimeToFirstByte(Optional<Duration> time) {
        return new AttemptResult(outcome, failure, lastEvent, time, detail);
    }

    /** Creates a result with outcome {@link AttemptOutcome#FAILURE_ANSWER}. */
    public static AttemptResult failure(BufferedResponse response) {
        String detail = "status " + response.head().status();
        return new AttemptResult(
                AttemptOutcome.FAILURE_ANSWER,
                Optional.of(response),
                OptionalLong.empty(),
                Optional.empty(),
                detail);
    }
}
