package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.catalog.Route;
import org.godwithoist.targets.Placement;

/**
 * Receives the results of attempts and requests, for logs and metrics. Implementations must be
 * thread-safe and must not block.
 */
public interface RequestObserver {
    /**
     * Called when an attempt has ended.
     *
     * @param took duration of the attempt
     */
    void attempted(
            Request request, Placement.Decision decision, AttemptResult result, Duration took);

    /**
     * Called when a request has ended, before the daemon sends a response of its own.
     *
     * @param request the request
     * @param route route of the request; empty if it was refused before a route was selected
     * @param refusal response of the daemon itself; empty if a target's response was sent to the
     *     caller
     * @param outcome how the request ended for its caller
     * @param told how the caller is told the end of a target's response; empty if it gets none
     * @param sentBytes bytes of the body that the caller was sent so far, by all attempts
     * @param attempts number of attempts
     * @param took time since the request was read
     */
    void ended(
            Request request,
            Optional<Route> route,
            Optional<Refusal> refusal,
            RequestOutcome outcome,
            Optional<ToldEnd> told,
            long sentBytes,
            int attempts,
            Duration took);
}
