package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.targets.Target;

/**
 * One attempt to send a request to a target.
 *
 * @param call the request
 * @param route its route
 * @param target the target
 * @param holder engine from which the target imports the prompt prefix; empty if none
 * @param workspace workspace that is charged for the request; empty on open routes
 * @param priority rank of the request, 0 comes first
 * @param deadline time at which the request ends
 * @param silence longest time without a byte of the response before the attempt is abandoned; empty
 *     if the request cannot be sent to another target
 * @param resumeAfter id of the event after which the target resumes the stream; empty for the start
 * @param waiting the wait for the first byte of the response
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
        Target.PendingResponse waiting) {}
