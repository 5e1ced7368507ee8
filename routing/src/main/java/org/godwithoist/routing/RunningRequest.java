package org.godwithoist.routing;

import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;

/**
 * Request of a chat at an engine; allows another daemon to resume the response.
 *
 * @param attempt id of the attempt at the engine
 * @param base number of pieces of the response that came from earlier attempts
 * @param daemon daemon that serves the caller
 */
public record RunningRequest(RequestId attempt, long base, HostId daemon) {}
