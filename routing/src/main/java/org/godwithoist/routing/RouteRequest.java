package org.godwithoist.routing;

import java.util.Optional;
import java.util.Set;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.TargetId;

/**
 * What a routing decision depends on.
 *
 * @param chat the chat
 * @param pool pool of the model
 * @param promptTokens estimated tokens of the prompt
 * @param placement where the chat was last served, if known
 * @param excluded targets that already failed this request
 * @param full targets that just had no slot for this request, whatever their expected wait says
 */
public record RouteRequest(
        ChatId chat,
        Pool pool,
        long promptTokens,
        Optional<Placement> placement,
        Set<TargetId> excluded,
        Set<TargetId> full) {}
