package org.godwithoist.edge;

import java.time.Duration;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.ServingState;
import org.godwithoist.dispatch.ServingStatus;
import org.godwithoist.dispatch.http.IdleConnections;

/**
 * Graceful shutdown of the daemon. The daemon immediately reports that it is not ready, still
 * serves new requests, closes each connection after its response, and stops when no request is in
 * progress or the grace period is almost over.
 */
final class GracefulShutdown {
    /** Time after which the load balancer has seen two failed checks and selects other daemons. */
    private static final Duration LOAD_BALANCER_DELAY = Duration.ofMillis(2300);

    /** Time after which new streams are rejected, because they could not end before the process. */
    private static final Duration STREAM_ACCEPT_PERIOD = Duration.ofSeconds(3);

    /** Part of the grace period reserved for the exit, so that the process is not killed. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(400);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final ServingStatus serving;
    private final IdleConnections idleConnections;
    private final Duration gracePeriod;
    private final EventLog log;
    private final Ticker ticker;

    GracefulShutdown(
            ServingStatus serving,
            IdleConnections idleConnections,
            Duration gracePeriod,
            EventLog log,
            Ticker ticker) {
        this.serving = serving;
        this.idleConnections = idleConnections;
        this.gracePeriod = gracePeriod;
        this.log = log;
        this.ticker = ticker;
    }

    /** Runs the shutdown; returns when the process can exit. */
    void run() {
        Deadline end = Deadline.after(gracePeriod.minus(EXIT_MARGIN), ticker);
        serving.advance(ServingState.DRAINING);
        log.event("stop").with("in_progress", serving.requestsInProgress()).write();
        Tasks.sleep(end.cap(LOAD_BALANCER_DELAY));
        log.event("idle_closed").with("connections", idleConnections.closeAll()).write();
        Tasks.sleep(end.cap(STREAM_ACCEPT_PERIOD.minus(LOAD_BALANCER_DELAY)));
        serving.advance(ServingState.CLOSING);
        Deadline earliestEnd = Deadline.after(end.cap(STREAM_ACCEPT_PERIOD), ticker);
        while (!end.isExpired()
                && !(earliestEnd.isExpired() && serving.requestsInProgress() == 0)) {
            Tasks.sleep(POLL_INTERVAL);
        }
        log.event("stopped").with("in_progress", serving.requestsInProgress()).write();
        log.flush();
    }
}
