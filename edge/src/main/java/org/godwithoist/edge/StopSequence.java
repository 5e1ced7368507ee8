package org.godwithoist.edge;

import java.time.Duration;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Serving;
import org.godwithoist.dispatch.ServingState;
import org.godwithoist.dispatch.http.IdleConnections;

/**
 * Graceful shutdown of the daemon. The daemon immediately reports that it is not ready, still
 * serves new requests, closes each connection after its response, and stops when no request is in
 * progress or the grace period is almost over.
 */
final class StopSequence {
    /** Time after which the load balancer has seen two failed checks and selects other daemons. */
    private static final Duration STILL_CHOSEN = Duration.ofMillis(2300);

    /** Time after which new streams are rejected, because they could not end before the process. */
    private static final Duration TAKES_STREAMS = Duration.ofSeconds(3);

    /** Part of the grace period reserved for the exit, so that the process is not killed. */
    private static final Duration MARGIN = Duration.ofMillis(400);

    private static final Duration LOOK = Duration.ofMillis(50);

    private final Serving serving;
    private final IdleConnections idle;
    private final Duration grace;
    private final EventLog log;
    private final Ticker ticker;

    StopSequence(
            Serving serving, IdleConnections idle, Duration grace, EventLog log, Ticker ticker) {
        this.serving = serving;
        this.idle = idle;
        this.grace = grace;
        this.log = log;
        this.ticker = ticker;
    }

    /** Runs the shutdown; returns when the process can exit. */
    void run() {
        Deadline end = Deadline.after(grace.minus(MARGIN), ticker);
        serving.advance(ServingState.LEAVING);
        log.event("stop").with("in_progress", serving.inProgress()).write();
        Tasks.sleep(end.cap(STILL_CHOSEN));
        log.event("idle_closed").with("connections", idle.closeAll()).write();
        Tasks.sleep(end.cap(TAKES_STREAMS.minus(STILL_CHOSEN)));
        serving.advance(ServingState.CLOSING);
        Deadline quiet = Deadline.after(end.cap(TAKES_STREAMS), ticker);
        while (!end.passed() && !(quiet.passed() && serving.inProgress() == 0)) {
            Tasks.sleep(LOOK);
        }
        log.event("stopped").with("in_progress", serving.inProgress()).write();
        log.flush();
    }
}
