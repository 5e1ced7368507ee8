package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.forwarding.Forwarding;
import org.godwithoist.forwarding.ForwardingPeers;
import org.godwithoist.targets.Target;

/**
 * Passes requests on to other daemons while this one reaches no target. The other daemon handles
 * the request like one of its own callers, with its own limits and retries, but never passes it on
 * again. Only requests that no target can have are passed on, each to a few daemons at most, so
 * that daemons that all reach nothing do not keep each other busy. Thread-safe.
 */
final class RequestForwarder {
    /** Maximum number of daemons that are asked for one request. */
    private static final int MAX_PEERS = 3;

    /** Longest wait for a daemon at which few requests wait. */
    private static final Duration MAX_WAIT = Duration.ofMillis(300);

    private static final Duration WAIT_INTERVAL = Duration.ofMillis(10);

    /** What has become of a request. */
    enum Result {
        /** The complete response was sent to the caller. */
        ANSWERED,
        /** The request may have run, or its caller has left; it must not be sent again. */
        ENDED,
        /** No daemon that was asked has taken it. */
        REFUSED,
        /** There is no other daemon. */
        NO_PEER
    }

    /**
     * Collaborators of a forwarder.
     *
     * @param forwarding when requests are passed on, and to whom
     */
    record Dependencies(
            Forwarding forwarding,
            TargetGateway gateway,
            StatedEnds statedEnds,
            RequestObserver observer,
            Ticker ticker) {}

    private final Dependencies dependencies;

    RequestForwarder(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Checks a request that another daemon has passed on.
     *
     * @param version version of the catalog that this daemon has admitted it by
     * @throws RefusedException if this daemon reaches no target either, or has an older catalog
     */
    void checkForwarded(Request request, long version) throws RefusedException {
        dependencies.forwarding().counts().recordReceived();
        if (dependencies.forwarding().reach().isLost()) {
            throw new RefusedException(
                    Refusal.OUT_OF_REACH, "this daemon reaches no target either");
        }
        if (version < request.admittedBy().orElseThrow()) {
            throw new RefusedException(
                    Refusal.NO_CATALOG, "the request was admitted by a later catalog");
        }
    }

    /**
     * Returns whether a request is to be passed on: it is one of a caller, certainly has not run,
     * and no other daemon was asked before.
     */
    boolean isDue(Request request, RetryPolicy policy) {
        return dependencies.forwarding().reach().isLost()
                && request.admittedBy().isEmpty()
                && !policy.wasForwarded()
                && policy.possibleRuns() == 0;
    }

    /**
     * Returns whether further attempts at targets would only delay a request: it can be passed on,
     * or the daemon that has passed it on can ask another one.
     */
    boolean endsAttempts(Request request, RetryPolicy policy) {
        boolean isForwarded = request.admittedBy().isPresent();
        return isDue(request, policy)
                || (isForwarded && dependencies.forwarding().reach().isLost());
    }

    /** Passes a request on until a daemon takes it. */
    Result forward(
            Request request,
            Admission.AdmittedRequest admitted,
            RetryPolicy policy,
            Deadline deadline,
            CallerResponse response) {
        Request forwarded = request.forwarded(admitted.version());
        for (int i = 0; i < MAX_PEERS && !deadline.isExpired(); i++) {
            Optional<ForwardingPeers.Choice> peer = choose(policy, deadline, response);
            if (peer.isEmpty()) {
                boolean isPeerKnown = policy.wasForwarded() || peers().isAnyFull(policy.tried());
                return isPeerKnown ? Result.REFUSED : Result.NO_PEER;
            }
            AttemptOutcome outcome =
                    attempt(forwarded, admitted, peer.get(), policy, deadline, response);
            if (outcome == AttemptOutcome.ANSWERED) {
                dependencies.forwarding().counts().recordAnswered();
                return Result.ANSWERED;
            }
            if (policy.possibleRuns() > 0 || response.callerDisconnected()) {
                return Result.ENDED;
            }
        }
        return Result.REFUSED;
    }

    private ForwardingPeers peers() {
        return dependencies.forwarding().peers();
    }

    /** Chooses a daemon; waits for a short time while enough requests wait at each. */
    private Optional<ForwardingPeers.Choice> choose(
            RetryPolicy policy, Deadline deadline, CallerResponse response) {
        Deadline waitEnd = Deadline.after(deadline.cap(MAX_WAIT), dependencies.ticker());
        Optional<ForwardingPeers.Choice> choice = peers().choose(policy.tried());
        while (choice.isEmpty()
                && peers().isAnyFull(policy.tried())
                && !waitEnd.isExpired()
                && !response.callerDisconnected()
                && Tasks.sleep(WAIT_INTERVAL)) {
            choice = peers().choose(policy.tried());
        }
        return choice;
    }

    private AttemptOutcome attempt(
            Request request,
            Admission.AdmittedRequest admitted,
            ForwardingPeers.Choice choice,
            RetryPolicy policy,
            Deadline deadline,
            CallerResponse response) {
        Target peer = choice.decision().target();
        Attempt attempt = newAttempt(request, admitted, choice, deadline);
        long startedAt = dependencies.ticker().nanos();
        AttemptOutcome outcome = AttemptOutcome.CALLER_LEFT;
        dependencies.forwarding().counts().recordSent();
        try {
            AttemptResult result = dependencies.gateway().attempt(attempt, response);
            outcome = result.outcome();
            policy.recordForwarded(peer, result);
            Duration took = Duration.ofNanos(dependencies.ticker().nanos() - startedAt);
            dependencies.observer().attempted(request, choice.decision(), result, took);
            return outcome;
        } finally {
            peer.stopWaiting(attempt.pendingResponse());
            peer.end(outcome.verdict());
        }
    }

    private Attempt newAttempt(
            Request request,
            Admission.AdmittedRequest admitted,
            ForwardingPeers.Choice choice,
            Deadline deadline) {
        Route route = admitted.route();
        return new Attempt(
                request,
                route,
                Recipient.DAEMON,
                choice.decision().target(),
                Optional.empty(),
                admitted.workspace(),
                admitted.priority(),
                deadline,
                Optional.empty(),
                request.head().resumeAfter(),
                Optional.empty(),
                false,
                false,
                false,
                dependencies.statedEnds(),
                choice.pendingResponse(),
                AttemptEvidence.NONE);
    }
}
