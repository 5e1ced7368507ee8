package org.godwithoist.routing;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.id.TargetId;

/**
 * Target that last served a chat. A hint: it may be stale.
 *
 * @param target the target
 * @param cachedTokens tokens of the chat that the target had in its cache after the last use; 0 if
 *     they are known to be evicted
 * @param age time since the last use
 * @param run last request, in progress or finished; empty if unknown
 */
public record Placement(
        TargetId target, long cachedTokens, Duration age, Optional<RunningRequest> run) {}
