package org.godwithoist.routing;

import java.util.Optional;
import java.util.Set;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.TargetId;

/**
 * Input of a routing decision.
 *
 * @param chat the chat
 * @param pool pool of the model
 * @param promptTokens estimated tokens of the prompt
 * @param placement target that last served the chat, if known
 * @param excluded targets that already failed this request
 * @param full targets that had no slot for this request; treated as full regardless of their
 *     expected wait
 */
public record RouteRequest(
        ChatId chat,
        Pool pool,
        long promptTokens,
        Optional<Placement> placement,
        Set<TargetId> excluded,
        Set<TargetId> full) {}
