package org.godwithoist.targets;

import java.time.Duration;
import java.util.Optional;

/**
 * What daemons tell each other about a limit of a target.
 *
 * @param <L> kind of limit
 * @param target the target
 * @param limit the limit; empty if it has ended
 * @param age time since a response of the target has stated it
 */
public record LimitNews<L>(TargetIncarnation target, Optional<L> limit, Duration age) {}
