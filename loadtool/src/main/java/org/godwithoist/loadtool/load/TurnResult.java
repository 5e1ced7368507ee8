package org.godwithoist.loadtool.load;

import java.time.Duration;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.WorkspaceId;

/**
 * What a caller saw of one turn.
 *
 * @param workspace workspace of the chat
 * @param priority priority of the chat
 * @param startedMillis wall-clock time of the first attempt
 * @param outcome how the turn ended
 * @param firstToken time from the first attempt to the first token
 * @param duration time from the first attempt to the end
 * @param words words received
 * @param promptTokens prompt tokens of the answer's usage
 * @param cachedTokens cached prompt tokens of the answer's usage
 * @param historyTokens tokens of the chat before this turn, which an engine could have cached
 * @param cuts attempts whose connection or stream broke before the end of the answer
 * @param refusals refusals with the run state "not run" before the answer
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
        int cuts,
        int refusals) {
    /** How a turn ended. */
    public enum Outcome {
        /** The whole answer arrived in time. */
        WHOLE(true),
        /** The whole answer arrived after the deadline. */
        LATE(true),
        /** The text differs from the answer to this prompt. */
        WRONG(false),
        /** Every attempt was refused. */
        REFUSED(false),
        /** No whole answer arrived. */
        LOST(false);

        private final boolean complete;

        Outcome(boolean complete) {
            this.complete = complete;
        }

        /** Returns whether the caller has its whole answer. */
        public boolean complete() {
            return complete;
        }
    }
}
