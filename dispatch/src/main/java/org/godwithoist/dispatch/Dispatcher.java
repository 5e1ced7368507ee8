package org.godwithoist.dispatch;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.CatalogState;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.forwarding.Forwarding;
import org.godwithoist.forwarding.TargetReach;
import org.godwithoist.overload.CapacityRefusal;
import org.godwithoist.overload.OverloadControl;
import org.godwithoist.overload.Ticket;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.rollout.Rollouts;
import org.godwithoist.streams.StreamOrigins;
import org.godwithoist.targets.FleetShare;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.PlacementRequest;
import org.godwithoist.targets.RetryShare;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.VersionFilter;

/** Handles requests, each from start to end in the task of its caller's connection. Thread-safe. */
public final class Dispatcher {
    /** Interval between placement attempts while no target may get a request. */
    private static final Duration PLACEMENT_INTERVAL = Duration.ofMillis(20);

    /** A request waits for a target for at most this fraction of its target latency. */
    private static final int PLACEMENT_WAIT_DIVISOR = 8;

    private final StartupGate gate;
    private final Admission admission;
    private final MemoryBudget memory;
    private final CatalogState catalogs;
    private final TargetDirectory directory;
    private final Placement placement;
    private final CapacityGate capacity;
    private final Quarantine quarantine;
    private final TargetGateway gateway;
    private final CrashDetector crashDetector;
    private final Supplier<FleetShare> fleetShare;
    private final RetryShares retryShares;
    private final Optional<Rollouts> rollouts;
    private final StreamOrigins streamOrigins;
    private final TargetReach reach;
    private final RequestForwarder forwarder;
    private final RequestObserver observer;
    private final StatedEnds statedEnds;
    private final RequestEnd requestEnd;
    private final StreamDurations streamDurations = new StreamDurations();
    private final Ticker ticker;
    private final RandomGenerator random;

    /**
     * Collaborators of a dispatcher.
     *
     * @param rollouts orders in progress; empty if the deployment rolls no versions out
     * @param streamOrigins versions that began the streams of callers
     * @param forwarding when requests are passed on to other daemons, and to whom
     */
    public record Dependencies(
            StartupGate gate,
            MemoryBudget memory,
            CatalogState catalogs,
            TargetDirectory directory,
            Placement placement,
            OverloadControl overload,
            Quarantine quarantine,
            TargetGateway gateway,
            Supplier<FleetShare> fleetShare,
            RetryShares retryShares,
            Optional<Rollouts> rollouts,
            StreamOrigins streamOrigins,
            Forwarding forwarding,
            ServingStatus status,
            RequestObserver observer,
            Ticker ticker,
            RandomGenerator random) {}

    /** Creates a dispatcher; it starts no tasks of its own. */
    public Dispatcher(Dependencies dependencies) {
        gate = dependencies.gate();
        memory = dependencies.memory();
        catalogs = dependencies.catalogs();
        admission = new Admission(catalogs, dependencies.status(), streamDurations);
        directory = dependencies.directory();
        placement = dependencies.placement();
        capacity = new CapacityGate(dependencies.overload());
        quarantine = dependencies.quarantine();
        gateway = dependencies.gateway();
        crashDetector = new CrashDetector(quarantine, gateway);
        fleetShare = dependencies.fleetShare();
        retryShares = dependencies.retryShares();
        rollouts = dependencies.rollouts();
        streamOrigins = dependencies.streamOrigins();
        reach = dependencies.forwarding().reach();
        random = dependencies.random();
        observer = dependencies.observer();
        ticker = dependencies.ticker();
        statedEnds = new StatedEnds(ticker);
        requestEnd = new RequestEnd(observer, statedEnds, ticker, dependencies.random());
        forwarder =
                new RequestForwarder(
                        new RequestForwarder.Dependencies(
                                dependencies.forwarding(), gateway, statedEnds, observer, ticker));
    }

    /**
     * Handles one request.
     *
     * @throws IOException if the response cannot be sent to the caller
     */
    public void serve(Request request, CallerResponse response) throws IOException {
        try {
            if (!gate.awaitOpen(request.head())) {
                throw new RefusedException(Refusal.NO_CATALOG, "the daemon is starting");
            }
            Admission.AdmittedRequest admitted = admission.admit(request.head());
            if (request.admittedBy().isPresent()) {
                forwarder.checkForwarded(request, admitted.version());
            }
            memory.requestStarted(
                    admitted.priority(), request.body().length(), response::callerDisconnected);
            try {
                run(request.identified(admitted.workspace()), admitted, response);
            } finally {
                memory.requestEnded();
            }
        } catch (RefusedException e) {
            requestEnd.refuse(request, e.refusal(), response);
        }
    }

    private void run(Request request, Admission.AdmittedRequest admitted, CallerResponse response)
            throws IOException {
        Route route = admitted.route();
        Optional<Duration> quarantined = quarantine.remaining(request.suspectIds());
        if (quarantined.isPresent()) {
            requestEnd.refuse(request, route, Refusal.QUARANTINED, quarantined.get(), response);
            return;
        }
        Deadline deadline = request.deadline(route.timeout(), ticker);
        RetryPolicy policy = new RetryPolicy(route, request.head().resumeAfter());
        if (forward(request, admitted, policy, deadline, response)) {
            return;
        }
        retryShares.of(admitted.service().id()).recordRequest();
        RequestVersions versions =
                RequestVersions.of(
                        rollouts,
                        streamOrigins,
                        admitted.service().id(),
                        route,
                        request,
                        deadline,
                        random);
        Optional<Refusal> obstacle =
                versions.findOrigin(directory.targets(admitted.service().id()));
        if (obstacle.isPresent()) {
            Duration retryAfter = obstacle.get().retryDelay();
            requestEnd.refuse(request, route, obstacle.get(), retryAfter, response);
            return;
        }
        try (Ticket ticket = capacity.enter(admitted, deadline)) {
            boolean hasSlot = CapacityGate.await(ticket, response);
            if (ticket.refusal().isPresent() && !response.callerDisconnected()) {
                CapacityRefusal refusal = ticket.refusal().get();
                requestEnd.refuse(
                        request, route, Refusal.NO_CAPACITY, refusal.retryAfter(), response);
                return;
            }
            run(
                    request,
                    admitted,
                    policy,
                    versions,
                    deadline,
                    hasSlot ? Optional.of(ticket) : Optional.empty(),
                    response);
        }
    }

    /**
     * Passes a request on to another daemon if this one reaches no target, and ends it. If no
     * daemon takes it, it is refused at once, because an attempt at a target out of reach would
     * only delay that.
     *
     * @return whether the request has ended; otherwise there is no other daemon
     */
    private boolean forward(
            Request request,
            Admission.AdmittedRequest admitted,
            RetryPolicy policy,
            Deadline deadline,
            CallerResponse response)
            throws IOException {
        if (!forwarder.isDue(request, policy)) {
            return false;
        }
        RequestForwarder.Result result =
                forwarder.forward(request, admitted, policy, deadline, response);
        if (result == RequestForwarder.Result.NO_PEER) {
            return false;
        }
        boolean responded = result == RequestForwarder.Result.ANSWERED;
        requestEnd.finish(
                request, admitted.route(), policy, Optional.empty(), deadline, response, responded);
        return true;
    }

    /**
     * Handles a request that may be sent to targets.
     *
     * @param slot slot of the request; empty if it got none and must not be sent
     */
    private void run(
            Request request,
            Admission.AdmittedRequest admitted,
            RetryPolicy policy,
            RequestVersions versions,
            Deadline deadline,
            Optional<Ticket> slot,
            CallerResponse response)
            throws IOException {
        Route route = admitted.route();
        RetryShare retryShare = retryShares.of(admitted.service().id());
        boolean responded = false;
        while (slot.isPresent()
                && !responded
                && mayAttempt(request, policy, retryShare, deadline, response)) {
            Optional<Placement.Decision> decision =
                    chooseTarget(request, admitted, policy, versions, deadline, response);
            if (decision.isEmpty()) {
                break;
            }
            AttemptEvidence evidence = versions.start(decision.get().target());
            responded =
                    attempt(
                            request,
                            admitted,
                            decision.get(),
                            policy,
                            evidence,
                            deadline,
                            slot.get(),
                            response);
        }
        if (!responded && forward(request, admitted, policy, deadline, response)) {
            return;
        }
        if (responded && route.kind().isEventStream()) {
            Duration duration = Duration.ofNanos(ticker.nanos() - request.arrivedAt());
            streamDurations.record(route.id(), duration);
        }
        Optional<Duration> pause =
                responded
                        ? Optional.empty()
                        : placement.shortestWait(
                                placementRequest(request, admitted, policy, versions.fallback()),
                                directory.targets(admitted.service().id()));
        requestEnd.finish(request, route, policy, pause, deadline, response, responded);
    }

    private boolean mayAttempt(
            Request request,
            RetryPolicy policy,
            RetryShare retryShare,
            Deadline deadline,
            CallerResponse response) {
        if (deadline.isExpired() || response.callerDisconnected()) {
            return false;
        }
        if (!policy.nextIsRetry()) {
            return true;
        }
        return !forwarder.endsAttempts(request, policy)
                && policy.permitsAttempt()
                && quarantine.remaining(request.suspectIds()).isEmpty()
                && takeRetry(policy, retryShare);
    }

    private boolean takeRetry(RetryPolicy policy, RetryShare retryShare) {
        return policy.nextOnlyConfirms(statedEnds)
                ? retryShare.tryConfirmation(fleetShare.get())
                : retryShare.tryRetry(fleetShare.get());
    }

    /**
     * Chooses a target. Waits for a short time if no target may get the request, for example
     * because all are cold. Does not wait if all targets pause, or are limited, for longer than
     * that.
     */
    private Optional<Placement.Decision> chooseTarget(
            Request request,
            Admission.AdmittedRequest admitted,
            RetryPolicy policy,
            RequestVersions versions,
            Deadline deadline,
            CallerResponse response) {
        Duration wait = admitted.route().targetLatency().dividedBy(PLACEMENT_WAIT_DIVISOR);
        Deadline waitEnd = Deadline.after(deadline.cap(wait), ticker);
        while (true) {
            PlacementRequest placementRequest =
                    placementRequest(request, admitted, policy, versions.fallback());
            List<Target> targets = directory.targets(admitted.service().id());
            VersionFilter filter = versions.filter(policy);
            Optional<Placement.Decision> decision =
                    placement.place(placementRequest.with(filter), targets);
            if (decision.isEmpty() && !filter.equals(VersionFilter.ALL)) {
                decision = placement.place(placementRequest, targets);
            }
            if (decision.isPresent() || waitEnd.isExpired() || response.callerDisconnected()) {
                return decision;
            }
            Optional<Duration> pause = placement.shortestWait(placementRequest, targets);
            if (pause.isPresent() && pause.get().compareTo(waitEnd.remaining()) > 0) {
                return Optional.empty();
            }
            if (!Tasks.sleep(waitEnd.cap(PLACEMENT_INTERVAL))) {
                return Optional.empty();
            }
        }
    }

    private PlacementRequest placementRequest(
            Request request,
            Admission.AdmittedRequest admitted,
            RetryPolicy policy,
            VersionFilter versions) {
        return new PlacementRequest(
                admitted.service(),
                request.head().prefix(),
                policy.tried(),
                catalogs.outOfService(),
                fleetShare.get(),
                request.head().tokens(),
                versions,
                Optional.of(admitted.route().targetLatency()));
    }

    /** Records whether an attempt shows that targets can be reached on new connections. */
    private void recordContact(AttemptResult result) {
        if (result.outcome().isWithoutContact() && result.timeToFirstByte().isEmpty()) {
            reach.recordFailure();
        } else if (result.timeToFirstByte().isPresent() && result.isOnNewConnection()) {
            reach.recordResponse();
        }
    }

    private boolean hasOtherTarget(Target target, RetryPolicy policy) {
        return directory.targets(target.entry().service()).stream()
                .map(Target::id)
                .anyMatch(id -> !id.equals(target.id()) && !policy.tried().contains(id));
    }

    private boolean attempt(
            Request request,
            Admission.AdmittedRequest admitted,
            Placement.Decision decision,
            RetryPolicy policy,
            AttemptEvidence evidence,
            Deadline deadline,
            Ticket slot,
            CallerResponse response) {
        Route route = admitted.route();
        Target target = decision.target();
        Optional<Duration> responseTimeout =
                policy.permitsAttemptAfterNext() || policy.endInDoubt()
                        ? Optional.of(ResponseTimeout.of(route))
                        : Optional.empty();
        Attempt attempt =
                new Attempt(
                        request,
                        route,
                        Recipient.TARGET,
                        target,
                        decision.cachingEngine(),
                        admitted.workspace(),
                        admitted.priority(),
                        deadline,
                        responseTimeout,
                        policy.lastEvent(),
                        policy.begunStream(),
                        policy.endInDoubt(),
                        hasOtherTarget(target, policy),
                        policy.needsNewConnection(),
                        statedEnds,
                        target.startWaiting(decision.work()),
                        evidence);
        long startedAt = ticker.nanos();
        AttemptOutcome outcome = AttemptOutcome.CALLER_LEFT;
        try {
            AttemptResult result = gateway.attempt(attempt, response);
            outcome = result.outcome();
            policy.recordAttempt(target, result);
            if (policy.confirmsLongBody(result)) {
                statedEnds.recordLongBody(target.entry().service(), route.id());
            }
            CapacityGate.record(result, slot);
            crashDetector.attemptEnded(request, target, result, startedAt);
            recordContact(result);
            Duration took = Duration.ofNanos(ticker.nanos() - startedAt);
            observer.attempted(request, decision, result, took);
            return outcome == AttemptOutcome.ANSWERED;
        } finally {
            target.stopWaiting(attempt.pendingResponse());
            target.end(outcome.verdict());
            evidence.ended(outcome, Duration.ofNanos(ticker.nanos() - startedAt));
        }
    }
}
