package org.godwithoist.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.TargetEntry;
import org.godwithoist.targets.VersionFilter;

/** Versions and the order of one service. Thread-safe. */
final class ServiceRollout {
    private final RolloutPolicy policy;
    private final Ticker ticker;
    private final VersionsInUse versions = new VersionsInUse();

    // Read by each request, without a lock.
    private volatile Filters filters = new Filters(VersionFilter.ALL, Optional.empty(), null);

    ServiceRollout(RolloutPolicy policy, Ticker ticker) {
        this.policy = policy;
        this.ticker = ticker;
    }

    /** Returns the filter of a request; an empty route has the share of the whole service. */
    VersionFilter filter(Optional<RouteId> route, long chatHash, boolean baselineOnly) {
        Filters now = filters;
        if (baselineOnly || now.canary.isEmpty()) {
            return now.baseline;
        }
        Slice slice = now.trial.slice();
        boolean chosen =
                route.map(r -> slice.contains(r, chatHash))
                        .orElseGet(() -> slice.contains(chatHash));
        return chosen ? now.canary.get() : now.baseline;
    }

    /** Returns the filter of a retry after an attempt at a version. */
    VersionFilter retryFilter(Optional<SoftwareVersion> previous) {
        Filters now = filters;
        if (now.canary.isEmpty() || !now.trial.slice().isWhole()) {
            return now.baseline;
        }
        Release release = Release.of(now.trial.order(), previous);
        return release == Release.CANARY ? now.canary.get() : now.baseline;
    }

    /** Returns whether each request may go to each target, and nothing needs recording. */
    boolean permitsAllTargets() {
        return filters.trial == null && filters.baseline.equals(VersionFilter.ALL);
    }

    Optional<Trial> trial() {
        return Optional.ofNullable(filters.trial);
    }

    Optional<Trial> trial(OrderId id) {
        return trial().filter(t -> t.order().id().equals(id));
    }

    synchronized void setTargets(Collection<TargetEntry> entries) {
        versions.setTargets(entries, ordered());
        refresh(filters.trial);
    }

    synchronized void apply(RolloutOrder order, Duration age) {
        if (trial(order.id()).isPresent()) {
            return;
        }
        versions.setOrdered(Optional.of(order.to()));
        refresh(new Trial(order, age, policy, ticker));
    }

    synchronized void withdraw(OrderId id) {
        if (trial(id).isEmpty()) {
            return;
        }
        versions.setOrdered(Optional.empty());
        refresh(null);
    }

    /** Takes the result of an earlier order over, whose row may be gone. */
    synchronized void recall(SoftwareVersion to, RolloutState state) {
        boolean running = trial().filter(t -> t.order().to().equals(to)).isPresent();
        if (!running) {
            settle(to, state);
            refresh(filters.trial);
        }
    }

    synchronized void merge(OrderId id, Progress progress, boolean heardFromLeader) {
        Optional<Trial> trial = trial(id);
        if (trial.isEmpty()) {
            return;
        }
        if (heardFromLeader) {
            trial.get().hear(progress);
        } else {
            trial.get().merge(progress);
        }
        settle(trial.get().order().to(), trial.get().progress().state());
        refresh(filters.trial);
    }

    /** Updates the order's windows; a fault found takes effect on the next request. */
    synchronized void update() {
        trial().ifPresent(Trial::update);
        refresh(filters.trial);
    }

    synchronized void markFaulty(OrderId id, String reason) {
        trial(id).ifPresent(t -> t.markFaulty(reason));
        refresh(filters.trial);
    }

    /**
     * Returns what the leader should do. An order for the version in use is completed at once, and
     * so is one for the only version, with which no other can be compared.
     */
    synchronized Optional<Decision> decide(OrderId id, long term) {
        Optional<Trial> trial = trial(id);
        boolean done =
                trial.filter(t -> !t.progress().state().isTerminal())
                        .map(t -> t.order().to())
                        .filter(to -> versions.isInUse(to) || versions.isOnly(to))
                        .isPresent();
        if (done && term >= trial.get().progress().term()) {
            Progress next = trial.get().progress().inTerm(term).completed();
            return Optional.of(new Decision(next, "no other version is in use"));
        }
        return trial.flatMap(t -> t.decide(term));
    }

    private void settle(SoftwareVersion to, RolloutState state) {
        switch (state) {
            case COMPLETED -> versions.complete(to);
            case REVERTED -> versions.revert(to, ordered());
            case IN_PROGRESS -> {}
        }
    }

    private Optional<SoftwareVersion> ordered() {
        return ordered(filters.trial);
    }

    /** Returns the version of an order that has not ended. */
    private static Optional<SoftwareVersion> ordered(Trial trial) {
        return Optional.ofNullable(trial)
                .filter(t -> !t.progress().state().isTerminal())
                .map(t -> t.order().to());
    }

    private void refresh(Trial trial) {
        boolean faulty = trial != null && trial.fault().isPresent();
        boolean onTrial =
                ordered(trial)
                        .filter(to -> !versions.isInUse(to) && !versions.isOnly(to))
                        .isPresent();
        VersionFilter baseline =
                versions.isUniform() && trial == null
                        ? VersionFilter.ALL
                        : versions.view(
                                faulty || onTrial
                                        ? Optional.of(trial.order().to())
                                        : Optional.empty());
        Optional<VersionFilter> canary = Optional.empty();
        if (trial != null) {
            SoftwareVersion to = trial.order().to();
            boolean present = versions.hasTargets(to);
            boolean hasBaseline = versions.isOnly(to) || versions.hasTargetsBeside(to, baseline);
            trial.setTargets(present, hasBaseline);
            if (present && !versions.isInUse(to)) {
                Optional<SoftwareVersion> only = Optional.of(to);
                canary = Optional.of(only::equals);
            }
        }
        filters = new Filters(baseline, canary, trial);
    }

    /** Filters of a service; the canary's is empty if there is no target to which it applies. */
    private record Filters(VersionFilter baseline, Optional<VersionFilter> canary, Trial trial) {}
}
