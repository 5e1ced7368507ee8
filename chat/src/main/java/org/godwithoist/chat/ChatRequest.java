package org.godwithoist.chat;

import java.util.Optional;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Deadline;

/**
 * A caller's request, independent of its encoding.
 *
 * @param id request id, returned to the caller
 * @param workspace authenticated workspace
 * @param chat chat to which the request belongs
 * @param model requested model
 * @param priority priority after the workspace's limit was applied
 * @param deadline instant by which the response must be complete
 * @param promptTokens estimated tokens of the prompt
 * @param body body for the engine; not interpreted by routing or admission
 * @param resumeAfter offset of the last chunk that a reconnecting caller has received; empty for a
 *     new request
 */
public record ChatRequest(
        RequestId id,
        WorkspaceId workspace,
        ChatId chat,
        ModelId model,
        Priority priority,
        Deadline deadline,
        long promptTokens,
        String body,
        Optional<Long> resumeAfter) {
    /** Returns a copy with another estimate of the prompt's tokens. */
    public ChatRequest withPromptTokens(long tokens) {
        return new ChatRequest(
                id, workspace, chat, model, priority, deadline, tokens, body, resumeAfter);
    }
}
