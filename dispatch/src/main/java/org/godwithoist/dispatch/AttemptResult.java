package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Result of one attempt.
 *
 * @param outcome how it ended
 * @param unsent response of a target that was not sent to the caller: that of a target that failed
 *     the request, or one without a stated end that is not a stream; empty for other outcomes
 * @param stream event stream that the caller was sent a part of; empty if there is none
 * @param lastEvent id of the last event that was sent to the caller; empty if there was none
 * @param timeToFirstByte time to the head of a successful response; empty if there was none
 * @param progress how far the target got with its response
 * @param body what was read of the body; empty if no response to this request was read
 * @param connection the connection that carried the request; empty if none could be opened
 * @param detail description for the log
 */
public record AttemptResult(
        AttemptOutcome outcome,
        Optional<BufferedResponse> unsent,
        Optional<BegunStream> stream,
        OptionalLong lastEvent,
        Optional<Duration> timeToFirstByte,
        ResponseProgress progress,
        Optional<ResponseBody> body,
        Optional<ConnectionRecord> connection,
        String detail) {
    /** Creates a result without an unsent response. */
    public static AttemptResult of(AttemptOutcome outcome, OptionalLong lastEvent, String detail) {
        return new AttemptResult(
                outcome,
                Optional.empty(),
                Optional.empty(),
                lastEvent,
                Optional.empty(),
                ResponseProgress.NONE,
                Optional.empty(),
                Optional.empty(),
                detail);
    }

    /** Returns whether the request was the first one on its connection. */
    boolean isOnNewConnection() {
        return connection.map(c -> c.earlierRequests() == 0).orElse(false);
    }

    /** Returns this result with the progress of a response whose head arrived after a time. */
    public AttemptResult withProgress(Duration headAfter, ResponseProgress reached) {
        return new AttemptResult(
                outcome,
                unsent,
                stream,
                lastEvent,
                Optional.of(headAfter),
                reached,
                body,
                connection,
                detail);
    }

    /** Returns this result with a stream that the caller was sent a part of. */
    public AttemptResult withStream(Optional<BegunStream> begun) {
        return new AttemptResult(
                outcome,
                unsent,
                begun,
                lastEvent,
                timeToFirstByte,
                progress,
                body,
                connection,
                detail);
    }

    /** Returns this result with what was read of the body. */
    public AttemptResult withBody(ResponseBody read) {
        return new AttemptResult(
                outcome,
                unsent,
                stream,
                lastEvent,
                timeToFirstByte,
                progress,
                Optional.of(read),
                connection,
                detail);
    }

    /** Returns this result with a record of the connection that carried the request. */
    public AttemptResult withConnection(ConnectionRecord used) {
        return new AttemptResult(
                outcome,
                unsent,
                stream,
                lastEvent,
                timeToFirstByte,
                progress,
                body,
                Optional.of(used),
                detail);
    }

    /** Returns this result with a response that was not sent to the caller. */
    public AttemptResult withUnsent(BufferedResponse response) {
        return new AttemptResult(
                outcome,
                Optional.of(response),
                stream,
                lastEvent,
                timeToFirstByte,
                progress,
                body,
                connection,
                detail);
    }

    /** Creates a result with outcome {@link AttemptOutcome#FAILURE_ANSWER}. */
    public static AttemptResult failure(BufferedResponse response) {
        String detail = "status " + response.head().status();
        return new AttemptResult(
                AttemptOutcome.FAILURE_ANSWER,
                Optional.of(response),
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty(),
                ResponseProgress.NONE,
                Optional.empty(),
                Optional.empty(),
                detail);
    }
}
