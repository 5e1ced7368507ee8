package org.godwithoist.edge;

import java.time.Duration;
import java.util.function.IntSupplier;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.ServingState;
import org.godwithoist.dispatch.ServingStatus;
import org.godwithoist.dispatch.http.HttpTargetGateway;
import org.godwithoist.dispatch.http.IdleConnections;

/**
 * Graceful shutdown of the daemon. The daemon immediately reports that it is not ready, still
 * serves new requests, closes each connection after its response, later refuses the requests that
 * could outlive it, and stops when no request is in progress or the grace period is almost over. It
 * closes its listener before the last answers.
 */
final class GracefulShutdown {
    /** Time after which the load balancer has seen two failed checks and selects other daemons. */
    private static final Duration LOAD_BALANCER_DELAY = Duration.ofMillis(2300);

    /**
     * Time after which requests that could not end before the process are refused. Callers may
     * count on three seconds after the signal, and its handler starts a moment later.
     */
    private static final Duration FULL_SERVICE_PERIOD = Duration.ofMillis(2800);

    /**
     * Time after the start of the shutdown for which an idle daemon still runs: callers come to it
     * if most daemons of its failure domain stop at the same time.
     */
    private static final Duration MIN_DURATION = Duration.ofSeconds(6);

    /** Part of the grace period reserved for the exit, so that the process is not killed. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(400);

    /** Time before the exit in which the callers of unresponsive targets get their answers. */
    private static final Duration ANSWER_PERIOD = Duration.ofMillis(200);

    /** Time in which the tasks of requests that are aborted close their callers' connections. */
    private static final Duration ABORT_PERIOD = Duration.ofMillis(60);

    /**
     * Time for which a connection has been idle when it is closed. Callers send their first request
     * within it, and a connection that is in use is closed after its next response.
     */
    private static final Duration MIN_IDLE = Duration.ofSeconds(1);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final ServingStatus serving;
    private final IdleConnections idleConnections;
    private final IntSupplier openConnections;
    private final Runnable closeListener;
    private final HttpTargetGateway gateway;
    private final Duration gracePeriod;
    private final EventLog log;
    private final Ticker ticker;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param openConnections number of the callers' open connections, counted as they are accepted
     * @param closeListener ends the acceptance of callers' connections, after those that callers
     *     have already established
     * @param gateway sends requests to targets until the end of the service
     * @param gracePeriod time after which the process is killed
     */
    GracefulShutdown(
            ServingStatus serving,
            IdleConnections idleConnections,
            IntSupplier openConnections,
            Runnable closeListener,
            HttpTargetGateway gateway,
            Duration gracePeriod,
            EventLog log,
            Ticker ticker) {
        this.serving = serving;
        this.idleConnections = idleConnections;
        this.openConnections = openConnections;
        this.closeListener = closeListener;
        this.gateway = gateway;
        this.gracePeriod = gracePeriod;
        this.log = log;
        this.ticker = ticker;
    }

    /** Runs the shutdown; returns when the process can exit. */
    void run() {
        Deadline exit = Deadline.after(gracePeriod.minus(EXIT_MARGIN), ticker);
        Deadline end = Deadline.after(exit.remaining().minus(ANSWER_PERIOD), ticker);
        Deadline earliestEnd = Deadline.after(end.cap(MIN_DURATION), ticker);
        serving.startDraining(end);
        log.event("stop").with("in_progress", serving.requestsInProgress()).write();
        Tasks.sleep(end.cap(LOAD_BALANCER_DELAY));
        closeIdleConnections();
        Tasks.sleep(end.cap(FULL_SERVICE_PERIOD.minus(LOAD_BALANCER_DELAY)));
        serving.advance(ServingState.CLOSING);
        closeIdleConnections();
        Tasks.sleep(earliestEnd.remaining());
        closeIdleConnections();
        awaitIdle(end);
        serving.advance(ServingState.STOPPED);
        // A request may have been admitted after the last check and before the change of state.
        awaitIdle(end);
        // The virtual machine takes up to 0.4 s to exit after the last answer. The kernel would
        // accept connections meanwhile; callers that it refuses turn to another daemon at once.
        closeListener.run();
        gateway.stop();
        awaitAnswers(Deadline.after(exit.cap(ANSWER_PERIOD), ticker));
        endConnections();
        log.event("stopped").with("in_progress", serving.requestsInProgress()).write();
        log.flush();
    }

    private void closeIdleConnections() {
        int closed = idleConnections.closeIdleFor(MIN_IDLE);
        log.event("idle_closed").with("connections", closed).write();
    }

    /**
     * Closes the connections without a request, and ends the responses that go on, so that no
     * target completes one that nobody forwards while the virtual machine exits.
     */
    private void endConnections() {
        idleConnections.close();
        int aborted = serving.requestsInProgress();
        if (aborted > 0) {
            log.event("aborted").with("in_progress", aborted).write();
            gateway.abortAll();
        }
        awaitAnswers(Deadline.after(ABORT_PERIOD, ticker));
    }

    /**
     * Waits until no request is in progress and no connection is open. Callers that have just
     * connected send their request within this time, and get an answer.
     */
    private void awaitAnswers(Deadline latest) {
        while (!latest.isExpired()
                && (serving.requestsInProgress() > 0 || openConnections.getAsInt() > 0)) {
            Tasks.sleep(latest.cap(POLL_INTERVAL));
        }
    }

    private void awaitIdle(Deadline latest) {
        while (!latest.isExpired() && serving.requestsInProgress() > 0) {
            Tasks.sleep(latest.cap(POLL_INTERVAL));
        }
    }
}
