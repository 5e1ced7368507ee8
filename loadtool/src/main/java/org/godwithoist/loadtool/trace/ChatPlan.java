package org.godwithoist.loadtool.trace;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * One chat of a trace.
 *
 * @param chat the chat
 * @param workspace its workspace
 * @param priority priority of its turns
 * @param turns its turns in order
 */
public record ChatPlan(
        ChatId chat, WorkspaceId workspace, Priority priority, List<TurnPlan> turns) {
    /**
     * One turn.
     *
     * @param pause time since the answer to the turn before, or since the start of the trace
     * @param message text of the caller
     * @param answerWords words of the answer
     */
    public record TurnPlan(Duration pause, String message, int answerWords) {}
}
