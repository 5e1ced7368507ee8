package org.godwithoist.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.targets.Target;

/**
 * History of one request's attempts, and the decision whether it may be sent to another target. A
 * request that may have run is retried only if its route permits it, and runs on at most as many
 * targets as the route permits. A request that has certainly not run may be sent to any target.
 * Used by one task.
 */
final class RetryPolicy {
    /** Maximum number of retries of a request, also if every target rejects it. */
    private static final int MAX_RETRIES = 3;

    private final Route route;
    private final Set<TargetId> tried = new HashSet<>();

    /** Attempts that may have run the request. */
    private int possibleRuns;

    private int attempts;
    private boolean wasForwarded;
    private OptionalLong lastEvent;
    private Optional<BegunStream> begunStream = Optional.empty();
    private Optional<BufferedResponse> failure = Optional.empty();

    private final DoubtfulEnd doubtfulEnd = new DoubtfulEnd();
    private AttemptOutcome lastOutcome = AttemptOutcome.UNREACHABLE;

    RetryPolicy(Route route, OptionalLong resumeAfter) {
        this.route = route;
        this.lastEvent = resumeAfter;
    }

    void recordAttempt(Target target, AttemptResult result) {
        tried.add(target.id());
        attempts++;
        lastOutcome = result.outcome();
        if (lastOutcome.mayHaveRun()) {
            possibleRuns++;
        }
        if (result.lastEvent().isPresent()) {
            lastEvent = result.lastEvent();
        }
        if (result.stream().isPresent()) {
            begunStream = result.stream();
        }
        if (lastOutcome == AttemptOutcome.UNCONFIRMED) {
            doubtfulEnd.record(target, result);
        } else if (result.lastEvent().isPresent()) {
            // More events than before the doubt: the earlier end was none.
            doubtfulEnd.clear();
        }
        if (lastOutcome == AttemptOutcome.FAILURE_ANSWER) {
            failure = result.unsent();
        }
    }

    /**
     * Records that another daemon was asked to handle the request. If it has certainly not run,
     * this was no attempt: nothing has reached a target.
     */
    void recordForwarded(Target peer, AttemptResult result) {
        wasForwarded = true;
        if (result.outcome().mayHaveRun()) {
            recordAttempt(peer, result);
        } else {
            tried.add(peer.id());
        }
    }

    /** Returns whether another daemon was asked to handle the request. */
    boolean wasForwarded() {
        return wasForwarded;
    }

    /**
     * Returns whether a target has ended its response without stating the end, and no later attempt
     * has shown that it was incomplete.
     */
    boolean endInDoubt() {
        return doubtfulEnd.isPresent();
    }

    /**
     * Returns whether the next attempt only confirms a response, which the caller gets without it,
     * too.
     */
    boolean nextOnlyConfirms(StatedEnds statedEnds) {
        return toldEnd(statedEnds) != ToldEnd.BROKEN;
    }

    /** Returns how an end in doubt is told; {@link ToldEnd#BROKEN} if there is none. */
    ToldEnd toldEnd(StatedEnds statedEnds) {
        return doubtfulEnd.toldEnd(route, statedEnds);
    }

    /** Returns the response in doubt if it was not sent to the caller; empty for a stream. */
    Optional<BufferedResponse> unconfirmed() {
        return doubtfulEnd.unsent();
    }

    /**
     * Returns whether a body of which no end was stated is the second long one of the request. A
     * short one is not sent without a stated end as long as another attempt is possible.
     */
    boolean confirmsLongBody(AttemptResult result) {
        boolean isSentUnstated =
                result.outcome() == AttemptOutcome.ANSWERED
                        && result.body()
                                .flatMap(ResponseBody::evidence)
                                .filter(e -> !e.isWhole())
                                .isPresent();
        return isSentUnstated && doubtfulEnd.isOfUnknownLength();
    }

    /** Returns whether the route permits another attempt. */
    boolean permitsAttempt() {
        if (!lastOutcome.isRetryable() || doubtfulEnd.isConfirmed() || cannotBeContinued()) {
            return false;
        }
        if (possibleRuns == 0) {
            return attempts <= MAX_RETRIES;
        }
        return route.allowsReexecution()
                && possibleRuns < route.maxAttempts()
                && attempts <= MAX_RETRIES;
    }

    /**
     * Returns whether the caller has a part of a response with which no other target can go on: of
     * a body that is no stream, because each run may have another one, or of a stream behind its
     * last id.
     */
    private boolean cannotBeContinued() {
        boolean isBody = lastOutcome == AttemptOutcome.BROKEN && !route.kind().isEventStream();
        return isBody || begunStream.filter(s -> !s.isResumable()).isPresent();
    }

    /** Returns whether another attempt would be permitted after the next one. */
    boolean permitsAttemptAfterNext() {
        return route.allowsReexecution() && possibleRuns + 1 < route.maxAttempts();
    }

    /**
     * Returns whether the next attempt needs a new connection: an earlier one was lost, and what a
     * target has sent too late on a used connection could cost the request this one too.
     */
    boolean needsNewConnection() {
        return possibleRuns > 0;
    }

    /** Returns whether the next attempt is a retry, which the retry budget counts. */
    boolean nextIsRetry() {
        return attempts > 0;
    }

    /** Returns the daemon's own response if no other attempt is made. */
    Refusal refusal() {
        if (possibleRuns > 0) {
            return lastOutcome == AttemptOutcome.TIMED_OUT
                    ? Refusal.TIMED_OUT
                    : Refusal.TARGET_FAILED;
        }
        if (lastOutcome == AttemptOutcome.NOT_SENT) {
            return Refusal.STOPPING;
        }
        return attempts == 0 ? Refusal.NO_TARGET : Refusal.REJECTED;
    }

    Set<TargetId> tried() {
        return tried;
    }

    int attempts() {
        return attempts;
    }

    int possibleRuns() {
        return possibleRuns;
    }

    /** Returns the event stream that the next attempt continues; empty if none was begun. */
    Optional<BegunResponse> begunStream() {
        return begunStream.map(BegunStream::response);
    }

    OptionalLong lastEvent() {
        return lastEvent;
    }

    Optional<BufferedResponse> failure() {
        return failure;
    }
}
