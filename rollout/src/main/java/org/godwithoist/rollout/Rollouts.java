package org.godwithoist.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.TargetEntry;
import org.godwithoist.targets.VersionFilter;

/**
 * One daemon's registry of roll-outs, by service: orders, their progress, the daemon's own evidence
 * and the fleet's. It answers to which versions a request may go. A service whose targets are all
 * of the version in use, and that has no order, costs one look-up in a map. Thread-safe.
 */
public final class Rollouts {
    private final Map<ServiceId, ServiceRollout> services = new ConcurrentHashMap<>();

    /** The services for which a request may not go to each target. */
    private final Map<ServiceId, ServiceRollout> active = new ConcurrentHashMap<>();

    private final RolloutPolicy policy;
    private final Ticker ticker;

    /** Creates a registry without orders. */
    public Rollouts(RolloutLimits limits, Ticker ticker) {
        policy = new RolloutPolicy(limits);
        this.ticker = ticker;
    }

    /**
     * Returns to which versions a request may go, with the same share on each route.
     *
     * @param chatHash hash of the chat or prompt key, the same on each daemon; of a request without
     *     one, a random number
     * @param retryAfterBaseline whether an earlier attempt went to the baseline; the request then
     *     never goes to the canary. For other retries, see {@link #retryFilter}.
     */
    public VersionFilter filter(ServiceId service, long chatHash, boolean retryAfterBaseline) {
        return filter(service, Optional.empty(), chatHash, retryAfterBaseline);
    }

    /**
     * Returns to which versions a request may go. On trial, routes with little traffic have a
     * larger share, so that they get evidence too; the sum stays the share of the service. If no
     * target of the canary is eligible, the request may be placed again with {@code
     * retryAfterBaseline} set.
     *
     * @param route route of the request; empty for the share of the whole service
     */
    public VersionFilter filter(
            ServiceId service, Optional<RouteId> route, long chatHash, boolean retryAfterBaseline) {
        ServiceRollout rollout = active.get(service);
        return rollout == null
                ? VersionFilter.ALL
                : rollout.filter(route, chatHash, retryAfterBaseline);
    }

    /**
     * Returns to which versions a retry may go. It goes to the baseline, except from the canary at
     * full share: there it stays, so that the baseline has no new requests in flight when its
     * targets stop.
     *
     * @param previous version of the target of the last attempt; empty if its entry names none
     */
    public VersionFilter retryFilter(ServiceId service, Optional<SoftwareVersion> previous) {
        ServiceRollout rollout = active.get(service);
        return rollout == null ? VersionFilter.ALL : rollout.retryFilter(previous);
    }

    /** Returns the recorder of a service's order; empty if it has no order. */
    public Optional<EvidenceRecorder> recorder(ServiceId service) {
        return trial(service).map(Trial::recorder);
    }

    /** Replaces the targets of all services. */
    public void setTargets(Collection<TargetEntry> entries) {
        Map<ServiceId, List<TargetEntry>> byService =
                entries.stream().collect(Collectors.groupingBy(TargetEntry::service));
        Set<ServiceId> all = new HashSet<>(services.keySet());
        all.addAll(byService.keySet());
        all.forEach(s -> change(s, r -> r.setTargets(byService.getOrDefault(s, List.of()))));
    }

    /**
     * Applies an order. It replaces an earlier order for the service; an order that is applied
     * already changes nothing.
     *
     * @param age time since the order was given, as far as known
     */
    public void apply(RolloutOrder order, Duration age) {
        change(order.service(), r -> r.apply(order, age));
    }

    /** Takes a greater age of an order over from the store or another daemon. */
    public void adoptAge(ServiceId service, OrderId order, Duration age) {
        trial(service, order).ifPresent(t -> t.adoptAge(age));
    }

    /** Withdraws an order: its version gets no new requests unless it is the one in use. */
    public void withdraw(ServiceId service, OrderId order) {
        change(service, r -> r.withdraw(order));
    }

    /**
     * Takes the state of an earlier order over from the store, so that a daemon that starts later
     * knows the version in use and the reverted ones.
     */
    public void recall(ServiceId service, SoftwareVersion to, RolloutState state) {
        change(service, r -> r.recall(to, state));
    }

    /** Takes the outcomes of all earlier orders of a service over from the store. */
    public void recall(ServiceId service, VersionHistory history) {
        history.completed().ifPresent(v -> recall(service, v, RolloutState.COMPLETED));
        history.reverted().forEach(v -> recall(service, v, RolloutState.REVERTED));
    }

    /** Takes progress over that the leader of the order has just stated. */
    public void hear(ServiceId service, OrderId order, Progress progress) {
        change(service, r -> r.merge(order, progress, true));
    }

    /** Takes progress over from the store, which does not show that the leader is alive. */
    public void restore(ServiceId service, OrderId order, Progress progress) {
        change(service, r -> r.merge(order, progress, false));
    }

    /** Takes evidence of another daemon, or of a failure domain, over. */
    public void receive(
            ServiceId service, OrderId order, EvidenceSource source, Evidence evidence) {
        trial(service, order).ifPresent(t -> t.receive(source, evidence));
    }

    /** Stops sending to the canary because another daemon has found a fault. */
    public void markFaulty(ServiceId service, OrderId order, String reason) {
        change(service, r -> r.markFaulty(order, reason));
    }

    /** Returns the fault for which this daemon sends nothing more to the canary. */
    public Optional<String> fault(ServiceId service) {
        return trial(service).flatMap(Trial::fault);
    }

    /** Returns this daemon's own evidence for the service's order. */
    public Evidence ownEvidence(ServiceId service) {
        return recorder(service).map(EvidenceRecorder::evidence).orElse(Evidence.NONE);
    }

    /** Returns the evidence of all sources for the service's order, this daemon included. */
    public Evidence fleetEvidence(ServiceId service) {
        return trial(service).map(Trial::fleet).orElse(Evidence.NONE);
    }

    /** Returns the progress of the service's order; empty without an order. */
    public Optional<Progress> progress(ServiceId service) {
        return trial(service).map(Trial::progress);
    }

    /** Returns the orders that are neither completed nor reverted. */
    public List<RolloutOrder> inProgress() {
        return active.values().stream()
                .flatMap(r -> r.trial().stream())
                .filter(t -> !t.progress().state().isTerminal())
                .map(Trial::order)
                .toList();
    }

    /**
     * Updates the windows of all orders and stops sending to canaries that have turned out to be
     * bad. To be called a few times a second.
     */
    public void update() {
        active.values().forEach(ServiceRollout::update);
    }

    /**
     * Returns what the leader of an order should do. The leader writes a terminal state to the
     * store first; then it passes the progress to {@link #hear} and to the other daemons. It does
     * the latter after each decision, because it shows them that the leader is alive.
     *
     * @param term fencing number of the leader's lease
     * @return empty if there is no such order, or a later leader has been heard
     */
    public Optional<Decision> decide(ServiceId service, OrderId order, long term) {
        return Optional.ofNullable(active.get(service)).flatMap(r -> r.decide(order, term));
    }

    private Optional<Trial> trial(ServiceId service) {
        ServiceRollout rollout = active.get(service);
        return rollout == null ? Optional.empty() : rollout.trial();
    }

    private Optional<Trial> trial(ServiceId service, OrderId order) {
        return trial(service).filter(t -> t.order().id().equals(order));
    }

    private synchronized void change(ServiceId service, Consumer<ServiceRollout> change) {
        ServiceRollout rollout =
                services.computeIfAbsent(service, s -> new ServiceRollout(policy, ticker));
        change.accept(rollout);
        if (rollout.permitsAllTargets()) {
            active.remove(service);
        } else {
            active.put(service, rollout);
        }
    }
}
