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

/** Serves calls, each from start to end in the task of its caller's connection. Thread-safe. */
public final class Dispatcher {
    /** Pause between two looks for a target while none may get a call. */
    private static final Duration LOOK_AGAIN = Duration.ofMillis(20);

    /** Time by which a daemon that has just started, or the store, is likely to answer. */
    private static final Duration AFTER_START = Duration.ofMillis(500);

    /** A call waits for a target for at most this part of its target latency. */
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

    /** What a dispatcher works with. */
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

    /** Makes a dispatcher. */
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
     * Serves one call.
     *
     * @throws IOException if the caller cannot be answered
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
        budget.called();
        RepeatRule rule = new RepeatRule(route, call.head().resumeAfter());
        Deadline deadline = call.deadline(route.timeout(), ticker);
        boolean answered = false;
        while (!answered && mayGoOn(rule, budget, deadline, caller)) {
            Optional<Placement.Placed> target = findTarget(call, admitted, rule, deadline, caller);
            if (target.isEmpty()) {
                break;
            }
            answered = attempt(call, admitted, target.get(), rule, deadline, caller);
        }
        end(call, route, rule, deadline, caller, answered);
    }

    private boolean mayGoOn(
            RepeatRule rule, RetryShare budget, Deadline deadline, CallerAnswer caller) {
        if (deadline.isExpired() || caller.left()) {
            return false;
        }
        if (!rule.countsAsRepeat()) {
            return true;
        }
        return rule.permitsAnother() && budget.tryRepeat(fleet.get());
    }

    /**
     * Looks for a target; waits a little if all are kept back, for example because they are cold.
     */
    private Optional<Placement.Placed> findTarget(
            Call call,
            Admission.Admitted admitted,
            RepeatRule rule,
            Deadline deadline,
            CallerAnswer caller) {
        Duration wait = admitted.route().targetLatency().dividedBy(WAIT_DIVISOR);
        Deadline waitEnd = Deadline.after(deadline.cap(wait), ticker);
        while (true) {
            Optional<Placement.Placed> target = look(call, admitted, rule);
            if (target.isPresent() || waitEnd.isExpired() || caller.left()) {
                return target;
            }
            if (!Tasks.sleep(waitEnd.cap(LOOK_AGAIN))) {
                return Optional.empty();
            }
        }
    }

    private Optional<Placement.Placed> look(
            Call call, Admission.Admitted admitted, RepeatRule rule) {
        PlacementRequest request =
                new PlacementRequest(
                        admitted.service(),
                        call.head().prompt(),
                        rule.tried(),
                        catalogs.outOfService(),
                        fleet.get());
        return placement.begin(request, directory.targets(admitted.service().id()));
    }

    private boolean attempt(
            Call call,
            Admission.Admitted admitted,
            Placement.Placed placed,
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
                        placed.holder(),
                        admitted.workspace(),
                        admitted.priority(),
                        deadline,
                        silence,
                        rule.lastEvent(),
                        target.awaiting());
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
            target.notAwaiting(attempt.waiting());
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
        // The log comes first, because the caller may be gone when it is answered.
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
        if (rule.runs() == 0 && deadline.isExpired()) {
            return Refusal.EXPIRED;
        }
        return rule.refusal();
    }

    /** Returns when to come back; another daemon takes the call of one that stops at once. */
    private static Duration retryAfter(Refusal refusal) {
        return refusal == Refusal.STOPPING ? Duration.ZERO : AFTER_START;
    }

    /** Spreads the return of callers, so that those refused together do not come back together. */
    private Duration retryAfter(Route route) {
        long half = Math.max(1, route.targetLatency().toMillis() / 2);
        return Duration.ofMillis(half + random.nextLong(half));
    }

    private Duration since(Call call) {
        return Duration.ofNanos(ticker.nanos() - call.arrivedAt());
    }
}
