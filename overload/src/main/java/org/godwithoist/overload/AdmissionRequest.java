package org.godwithoist.overload;

import java.time.Duration;

/**
 * A request that asks for a slot of a service.
 *
 * @param workspace workspace that is charged
 * @param priority priority of the request, 0 is the highest
 * @param latencyObjective objective for the time to the first byte of the response
 * @param timeLeft time until the caller's deadline
 */
public record AdmissionRequest(
        WorkspaceKey workspace, int priority, Duration latencyObjective, Duration timeLeft) {}
