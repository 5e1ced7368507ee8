package org.godwithoist.dispatch;

import org.godwithoist.targets.Target;

/** Sends requests to targets and forwards their responses to callers. */
public interface TargetGateway {
    /**
     * Makes one attempt. A successful response is forwarded to the caller; a failure is returned,
     * so that another target can be tried. Errors are reported by the outcome and not thrown.
     *
     * @param response receives the response
     */
    AttemptResult attempt(Attempt attempt, CallerResponse response);

    /** Returns whether a target accepts connections; one whose process has ended does not. */
    boolean acceptsConnections(Target target);

    /**
     * Returns whether a target responds on a new connection within a short time, whatever it
     * responds. One that may not be asked responds if it accepts the connection.
     */
    boolean responds(Target target);

    /**
     * Asks the process at a target's address who it is. Unlike {@link #acceptsConnections}, it
     * recognizes another process and another incarnation, but costs the target an answer.
     */
    TargetPresence findPresence(Target target);
}
