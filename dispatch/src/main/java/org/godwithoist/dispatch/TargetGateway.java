package org.godwithoist.dispatch;

/** Sends requests to targets and forwards their responses to callers. */
public interface TargetGateway {
    /**
     * Makes one attempt. A successful response is forwarded to the caller; a failure is returned,
     * so that another target can be tried. Errors are reported by the outcome and not thrown.
     *
     * @param response receives the response
     */
    AttemptResult attempt(Attempt attempt, CallerResponse response);
}
