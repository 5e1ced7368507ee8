package org.godwithoist.dispatch;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.CatalogState;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.FleetShare;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.PlacementRequest;
import org.godwithoist.targets.RetryShare;
import org.godwithoist.targets.Target;
import org.godwithoist.targets.TargetDirectory;
import org.godwithoist.targets.Verdict;

/** Handles requests, each from start to end in the task of its caller's connection. Thread-safe. */
public final class Dispatcher {
    /** Interval between placement attempts while no target may get a request. */
    private static final Duration LOOK_AGAIN = Duration.ofMillis(20);

    /**
     * Retry delay sent while the daemon starts; by then the daemon, or the store, is likely to
     * respond.
     */
    private static final Duration AFTER_START = Duration.ofMillis(500);

    /** A request waits for a target for at most this fraction of its target latency. */
    private static final int WAIT_DIVISOR = 8;

    private final StartGate gate;
    private final Admission admission;
    private final CatalogState catalogs;
    private final TargetDirectory directory;
    private final Placement placement;
    private final TargetGateway gateway;
    private final Supplier<FleetShare> fleet;
    private final RetryShares retries;
    private final Serving serving;
    private final CallObserver observer;
    private final Ticker ticker;
    private final RandomGenerator random;

    /** Collaborators of a dispatcher. */
    public record Parts(
            StartGate gate,
            CatalogState catalogs,
            TargetDirectory directory,
            Placement placement,
            TargetGateway gateway,
            Supplier<FleetShare> fleet,
            RetryShares retries,
            Serving serving,
            CallObserver observer,
            Ticker ticker,
            RandomGenerator random) {}

    public Dispatcher(Parts parts) {
        gate = parts.gate();
        catalogs = parts.catalogs();
        admission = new Admission(catalogs, parts.serving());
        directory = parts.directory();
        placement = parts.placement();
        gateway = parts.gateway();
        fleet = parts.fleet();
        retries = parts.retries();
        serving = parts.serving();
        observer = parts.observer();
        ticker = parts.ticker();
        random = parts.random();
    }

    /**
     * Handles one request.
     *
     * @throws IOException if the response cannot be sent to the caller
     */
    public void serve(Call call, CallerAnswer caller) throws IOException {
        serving.began();
        try {
            if (!gate.pass(call.head())) {
                throw new RefusedException(Refusal.NO_CATALOG, "the daemon starts");
            }
            Admission.Admitted admitted = admission.admit(call.head());
            run(call, admitted, caller);
        } catch (RefusedException e) {
            observer.ended(
                    call,
                    Optional.empty(),
                    Optional.of(e.refusal()),
                    CallEnd.REFUSED,
                    0,
                    since(call));
            caller.refuse(e.refusal(), retryAfter(e.refusal()));
        } finally {
            serving.ended();
        }
    }

    private void run(Call call, Admission.Admitted admitted, CallerAnswer caller)
            throws IOException {
        Route route = admitted.route();
        RetryShare budget = retries.of(admitted.service().id());
        budget.recordRequest();
        RepeatRule rule = new RepeatRule(route, call.head().resumeAfter());
        Deadline deadline = call.deadline(route.timeout(), ticker);
        boolean answered = false;
        while (!answered && mayGoOn(rule, budget, deadline, caller)) {
            Optional<Placement.Decision> target =
                    findTarget(call, admitted, rule, deadline, caller);
            if (target.isEmpty()) {
                break;
            }
            answered = attempt(call, admitted, target.get(), rule, deadline, caller);
        }
        end(call, route, rule, deadline, caller, answered);
    }

    private boolean mayGoOn(
            RepeatRule rule, RetryShare budget, Deadline deadline, CallerAnswer caller) {
        if (deadline.passed() || caller.left()) {
            return false;
        }
        if (!rule.countsAsRepeat()) {
            return true;
        }
        return rule.permitsAnother() && budget.tryRetry(fleet.get());
    }

    /**
     * Chooses a target. Waits for a short time if no target may get the request, for example
     * because all are cold.
     */
    private Optional<Placement.Decision> findTarget(
            Call call,
            Admission.Admitted admitted,
            RepeatRule rule,
            Deadline deadline,
            CallerAnswer caller) {
        Duration wait = admitted.route().targetLatency().dividedBy(WAIT_DIVISOR);
        Deadline waitEnd = Deadline.after(deadline.cap(wait), ticker);
        while (true) {
            Optional<Placement.Decision> target = look(call, admitted, rule);
            if (target.isPresent() || waitEnd.passed() || caller.left()) {
                return target;
            }
            if (!Tasks.sleep(waitEnd.cap(LOOK_AGAIN))) {
                return Optional.empty();
            }
        }
    }

    private Optional<Placement.Decision> look(
            Call call, Admission.Admitted admitted, RepeatRule rule) {
        PlacementRequest request =
                new PlacementRequest(
                        admitted.service(),
                        call.head().prompt(),
                        rule.tried(),
                        catalogs.outOfService(),
                        fleet.get());
        return placement.place(request, directory.targets(admitted.service().id()));
    }

    private boolean attempt(
            Call call,
            Admission.Admitted admitted,
            Placement.Decision placed,
            RepeatRule rule,
            Deadline deadline,
            CallerAnswer caller) {
        Route route = admitted.route();
        Target target = placed.target();
        Optional<Duration> silence =
                rule.permitsAnotherAfterNext()
                        ? Optional.of(SilenceLimit.of(route))
                        : Optional.empty();
        Attempt attempt =
                new Attempt(
                        call,
                        route,
                        target,
                        placed.cachingEngine(),
                        admitted.workspace(),
                        admitted.priority(),
                        deadline,
                        silence,
                        rule.lastEvent(),
                        target.startWaiting());
        long began = ticker.nanos();
        Verdict verdict = Verdict.NEUTRAL;
        try {
            AttemptResult result = gateway.attempt(attempt, caller);
            verdict = result.outcome().verdict();
            rule.ended(target, result);
            Duration took = Duration.ofNanos(ticker.nanos() - began);
            observer.attempted(call, placed, result, took);
            return result.outcome() == AttemptOutcome.ANSWERED;
        } finally {
            target.cancelWaiting(attempt.waiting());
            target.end(verdict);
        }
    }

    private void end(
            Call call,
            Route route,
            RepeatRule rule,
            Deadline deadline,
            CallerAnswer caller,
            boolean answered)
            throws IOException {
        CallEnd end = howItEnded(rule, caller, answered);
        Optional<Refusal> refusal =
                end == CallEnd.REFUSED ? Optional.of(refusal(rule, deadline)) : Optional.empty();
        // The request is logged first, because the caller may have disconnected when the response
        // is sent.
        observer.ended(call, Optional.of(route), refusal, end, rule.attempts(), since(call));
        switch (end) {
            case ANSWERED -> {}
            case LEFT, BROKEN -> caller.abort();
            case FAILED -> rule.failure().orElseThrow().sendTo(caller);
            case REFUSED -> caller.refuse(refusal.orElseThrow(), retryAfter(route));
        }
    }

    private static CallEnd howItEnded(RepeatRule rule, CallerAnswer caller, boolean answered) {
        if (answered) {
            return CallEnd.ANSWERED;
        }
        if (caller.left()) {
            return CallEnd.LEFT;
        }
        if (caller.begun()) {
            return CallEnd.BROKEN;
        }
        return rule.failure().isPresent() ? CallEnd.FAILED : CallEnd.REFUSED;
    }

    private static Refusal refusal(RepeatRule rule, Deadline deadline) {
        if (rule.runs() == 0 && deadline.passed()) {
            return Refusal.EXPIRED;
        }
        return rule.refusal();
    }

    /**
     * Returns the retry delay. A caller of a daemon that stops may retry immediately, because
     * another daemon takes the request.
     */
    private static Duration retryAfter(Refusal refusal) {
        return refusal == Refusal.STOPPING ? Duration.ZERO : AFTER_START;
    }

    /**
     * Returns a random retry delay, so that callers that were rejected together do not retry
     * together.
     */
    private Duration retryAfter(Route route) {
        long half = Math.max(1, route.targetLatency().toMillis() / 2);
        return Duration.ofMillis(half + random.nextLong(half));
    }

    private Duration since(Call call) {
        return Duration.ofNanos(ticker.nanos() - call.arrivedAt());
    }
}
