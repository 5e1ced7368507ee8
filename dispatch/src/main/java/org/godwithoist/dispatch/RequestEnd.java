package org.godwithoist.dispatch;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;

/**
 * Ends requests: decides how a request has ended, reports it to the observer and sends the
 * responses of the daemon itself. Thread-safe.
 */
final class RequestEnd {
    private final RequestObserver observer;
    private final StatedEnds statedEnds;
    private final Ticker ticker;
    private final RandomGenerator random;

    RequestEnd(
            RequestObserver observer,
            StatedEnds statedEnds,
            Ticker ticker,
            RandomGenerator random) {
        this.observer = observer;
        this.statedEnds = statedEnds;
        this.ticker = ticker;
        this.random = random;
    }

    /** Refuses a request before its route is known. */
    void refuse(Request request, Refusal refusal, CallerResponse response) throws IOException {
        refuse(request, Optional.empty(), refusal, 0, refusal.retryDelay(), response);
    }

    /** Refuses a request for whose route no target may be asked. */
    void refuse(
            Request request,
            Route route,
            Refusal refusal,
            Duration retryAfter,
            CallerResponse response)
            throws IOException {
        refuse(request, Optional.of(route), refusal, 0, retryAfter, response);
    }

    private void refuse(
            Request request,
            Optional<Route> route,
            Refusal refusal,
            int attempts,
            Duration retryAfter,
            CallerResponse response)
            throws IOException {
        // The request is logged first, because the caller may have disconnected when the response
        // is sent.
        observer.ended(
                request,
                route,
                Optional.of(refusal),
                RequestOutcome.REFUSED,
                Optional.empty(),
                response.sentBytes(),
                attempts,
                elapsed(request));
        response.refuse(refusal, retryAfter);
    }

    /**
     * Ends a request after its last attempt.
     *
     * @param pause time until the first target accepts requests again; empty if not all pause
     * @param responded whether a target's complete response was sent
     */
    void finish(
            Request request,
            Route route,
            RetryPolicy policy,
            Optional<Duration> pause,
            Deadline deadline,
            CallerResponse response,
            boolean responded)
            throws IOException {
        RequestOutcome outcome = outcome(policy, response, responded);
        if (outcome == RequestOutcome.REFUSED) {
            Refusal refusal = refusal(policy, pause, deadline);
            Duration retryAfter =
                    refusal == Refusal.STOPPING ? refusal.retryDelay() : retryAfter(route, pause);
            refuse(request, Optional.of(route), refusal, policy.attempts(), retryAfter, response);
            return;
        }
        observer.ended(
                request,
                Optional.of(route),
                Optional.empty(),
                outcome,
                toldEnd(outcome, policy, response, responded),
                response.sentBytes(),
                policy.attempts(),
                elapsed(request));
        if (outcome == RequestOutcome.ANSWERED && !responded) {
            endInDoubt(policy, response);
        } else if (outcome == RequestOutcome.FAILED) {
            policy.failure().orElseThrow().sendTo(response);
        } else if (outcome != RequestOutcome.ANSWERED) {
            response.abort();
        }
    }

    /** Returns how the caller is told the end of the response; empty if it gets none. */
    private Optional<ToldEnd> toldEnd(
            RequestOutcome outcome,
            RetryPolicy policy,
            CallerResponse response,
            boolean responded) {
        return switch (outcome) {
            case ANSWERED ->
                    Optional.of(
                            responded
                                    ? ToldEnd.of(response.statesEnd())
                                    : policy.toldEnd(statedEnds));
            case FAILED -> policy.failure().map(f -> ToldEnd.of(f.head().end().isStated()));
            case BROKEN -> Optional.of(ToldEnd.BROKEN);
            case LEFT, CLOSED_FOR_MEMORY, REFUSED -> Optional.empty();
        };
    }

    /**
     * Ends a response whose end nobody has stated, and which no target could be asked about. It is
     * told to the caller in the same way.
     */
    private static void endInDoubt(RetryPolicy policy, CallerResponse response) throws IOException {
        if (policy.unconfirmed().isPresent()) {
            policy.unconfirmed().get().sendTo(response);
        } else {
            policy.begunStream().orElseThrow().finish();
        }
    }

    private RequestOutcome outcome(RetryPolicy policy, CallerResponse response, boolean responded) {
        if (responded) {
            return RequestOutcome.ANSWERED;
        }
        if (response.callerDisconnected()) {
            return response.closedForMemory()
                    ? RequestOutcome.CLOSED_FOR_MEMORY
                    : RequestOutcome.LEFT;
        }
        boolean repeatBroke = response.started() && policy.unconfirmed().isPresent();
        if (!repeatBroke && mayEnd(policy.toldEnd(statedEnds), response)) {
            return RequestOutcome.ANSWERED;
        }
        if (response.started()) {
            return RequestOutcome.BROKEN;
        }
        return policy.failure().isPresent() ? RequestOutcome.FAILED : RequestOutcome.REFUSED;
    }

    /** Returns whether a response whose end was in doubt may be ended as this says. */
    private static boolean mayEnd(ToldEnd told, CallerResponse response) {
        return told == ToldEnd.STATED || (told == ToldEnd.UNSTATED && !response.statesEnd());
    }

    private static Refusal refusal(
            RetryPolicy policy, Optional<Duration> pause, Deadline deadline) {
        if (policy.possibleRuns() == 0 && deadline.isExpired()) {
            return Refusal.EXPIRED;
        }
        if (policy.possibleRuns() == 0 && pause.isPresent()) {
            return Refusal.TARGETS_PAUSED;
        }
        return policy.refusal();
    }

    /**
     * Returns a random retry delay, so that callers that were refused at the same time do not all
     * retry at the same time.
     */
    private Duration retryAfter(Route route, Optional<Duration> pause) {
        long halfMillis = Math.max(1, route.targetLatency().toMillis() / 2);
        Duration spread = Duration.ofMillis(random.nextLong(halfMillis));
        return pause.orElse(Duration.ofMillis(halfMillis)).plus(spread);
    }

    private Duration elapsed(Request request) {
        return Duration.ofNanos(ticker.nanos() - request.arrivedAt());
    }
}
