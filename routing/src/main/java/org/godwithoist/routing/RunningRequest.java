package org.godwithoist.routing;

import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;

/**
 * A chat's request at an engine; lets another daemon resume the answer.
 *
 * @param attempt id under which the engine knows the request
 * @param base pieces of the answer that came from earlier attempts
 * @param daemon daemon that serves the caller
 */
public record RunningRequest(RequestId attempt, long base, HostId daemon) {}
