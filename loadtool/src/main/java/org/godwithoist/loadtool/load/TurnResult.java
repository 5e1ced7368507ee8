package org.godwithoist.loadtool.load;

import java.time.Duration;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Result of one turn from the point of view of the caller.
 *
 * @param workspace workspace of the chat
 * @param priority priority of the chat
 * @param startedMillis wall-clock time of the first attempt, in milliseconds since the epoch
 * @param outcome how the turn ended
 * @param firstToken time from the first attempt to the first token; equals {@code duration} without
 *     one
 * @param duration time from the first attempt to the end
 * @param words number of words received
 * @param promptTokens prompt tokens according to the usage of the response, or 0
 * @param cachedTokens cached prompt tokens according to the usage of the response, or 0
 * @param historyTokens tokens of earlier turns, which an engine may have cached
 * @param brokenAttempts number of attempts whose connection or stream broke before the end of the
 *     response
 * @param rejections number of attempts that were rejected with an error status
 */
public record TurnResult(
        WorkspaceId workspace,
        Priority priority,
        long startedMillis,
        Outcome outcome,
        Duration firstToken,
        Duration duration,
        int words,
        long promptTokens,
        long cachedTokens,
        long historyTokens,
        int brokenAttempts,
        int rejections) {
    /** How a turn ended. */
    public enum Outcome {
        /** The complete response was received before the deadline. */
        WHOLE(true),
        /** The complete response was received after the deadline. */
        LATE(true),
        /** The text differs from the expected response, or events were repeated or left out. */
        WRONG(false),
        /** Every attempt was rejected. */
        REFUSED(false),
        /** The response is incomplete. */
        LOST(false);

        private final boolean complete;

        Outcome(boolean complete) {
            this.complete = complete;
        }

        /** Returns whether the caller received the complete and correct response. */
        public boolean complete() {
            return complete;
        }
    }
}
