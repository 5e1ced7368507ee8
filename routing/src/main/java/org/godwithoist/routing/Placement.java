package org.godwithoist.routing;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.id.TargetId;

/**
 * Where a chat was last served. A hint: it may be stale.
 *
 * @param target the target
 * @param cachedTokens tokens of the chat that the target had in its cache after the last use; 0 if
 *     they are surely evicted
 * @param age time since the last use
 * @param run last request, running or finished
 */
public record Placement(
        TargetId target, long cachedTokens, Duration age, Optional<RunningRequest> run) {}
