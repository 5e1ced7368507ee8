package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.targets.Target;

/**
 * One sending of a call to a target.
 *
 * @param call the call
 * @param route its route
 * @param target the target
 * @param holder engine from which the target takes the shared parts of the prompt; empty if none
 * @param workspace workspace that pays for the call; empty on open routes
 * @param priority rank of the call, 0 is first
 * @param deadline instant at which the call ends
 * @param silence longest time without a byte of the answer before the attempt is given up; empty if
 *     the call cannot go anywhere else
 * @param resumeAfter event after which the target goes on
 * @param waiting the wait for the first byte of the answer
 */
public record Attempt(
        Call call,
        Route route,
        Target target,
        Optional<Target> holder,
        Optional<WorkspaceId> workspace,
        int priority,
        Deadline deadline,
        Optional<Duration> silence,
        OptionalLong resumeAfter,
        Target.Waiting waiting) {}
