package org.godwithoist.loadtool.trace;

import java.time.Duration;
import java.util.List;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * One chat of a trace.
 *
 * @param chat id of the chat
 * @param workspace workspace that sends the chat
 * @param priority priority of all turns
 * @param turns the turns in order
 */
public record ChatPlan(
        ChatId chat, WorkspaceId workspace, Priority priority, List<TurnPlan> turns) {
    /**
     * One turn.
     *
     * @param pause time between the response to the previous turn, or the start of the chat, and
     *     this turn
     * @param message text of the user message
     * @param responseWords length of the response in words
     */
    public record TurnPlan(Duration pause, String message, int responseWords) {}
}
