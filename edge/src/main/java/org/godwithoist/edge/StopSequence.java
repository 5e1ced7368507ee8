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
 * Stops the daemon without interrupting calls: it says at once that it is not ready, serves what
 * still comes, closes each connection after its answer, and ends when nothing is in progress or the
 * time for the stop is nearly over.
 */
final class StopSequence {
    /** By then the load balancer has seen two failed checks and chooses other daemons. */
    private static final Duration STILL_CHOSEN = Duration.ofMillis(2300);

    /** Time after which a call that lasts long could not end before the process does. */
    private static final Duration TAKES_STREAMS = Duration.ofSeconds(3);

    /** Time kept back at the end, to leave before the process is killed. */
    private static final Duration MARGIN = Duration.ofMillis(400);

    private static final Duration LOOK = Duration.ofMillis(50);

    private final ServingStatus serving;
    private final IdleConnections idle;
    private final Duration grace;
    private final EventLog log;
    private final Ticker ticker;

    StopSequence(
            ServingStatus serving,
            IdleConnections idle,
            Duration grace,
            EventLog log,
            Ticker ticker) {
        this.serving = serving;
        this.idle = idle;
        this.grace = grace;
        this.log = log;
        this.ticker = ticker;
    }

    /** Runs the sequence to its end. */
    void run() {
        Deadline end = Deadline.after(grace.minus(MARGIN), ticker);
        serving.advance(ServingState.DRAINING);
        log.event("stop").with("in_progress", serving.requestsInProgress()).write();
        Tasks.sleep(end.cap(STILL_CHOSEN));
        log.event("idle_closed").with("connections", idle.closeAll()).write();
        Tasks.sleep(end.cap(TAKES_STREAMS.minus(STILL_CHOSEN)));
        serving.advance(ServingState.CLOSING);
        Deadline quiet = Deadline.after(end.cap(TAKES_STREAMS), ticker);
        while (!end.passed() && !(quiet.passed() && serving.requestsInProgress() == 0)) {
            Tasks.sleep(LOOK);
        }
        log.event("stopped").with("in_progress", serving.requestsInProgress()).write();
        log.flush();
    }
}
