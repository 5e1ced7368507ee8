package org.godwithoist.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.store.HostEntry;

/**
 * Targets of the host list with the state that results from the list and the orders. A lookup is
 * one access to a hash table; the tables are rebuilt on changes. Thread-safe.
 */
public final class FleetTargets implements TargetDirectory {
    private record Snapshot(
            long version, Map<TargetId, Target> byId, Map<PoolId, List<Target>> byPool) {}

    private final OrderRegistry orders;
    private List<HostEntry> hosts = List.of();
    private volatile Snapshot snapshot = new Snapshot(0, Map.of(), Map.of());

    /** Creates an empty directory that is updated when the orders change. */
    public FleetTargets(OrderRegistry orders) {
        this.orders = orders;
        orders.addListener(this::rebuild);
    }

    /** Replaces the targets by those of a host list. */
    public synchronized void update(List<HostEntry> list) {
        hosts = list.stream().filter(h -> h.kind().isTarget()).toList();
        rebuild();
    }

    private synchronized void rebuild() {
        Map<TargetId, Target> byId = new HashMap<>();
        for (HostEntry h : hosts) {
            Target t = target(h);
            // A target that moves may be listed twice. The entry that may get less work takes
            // precedence.
            byId.merge(
                    t.id(), t, (a, b) -> a.serviceState().compareTo(b.serviceState()) >= 0 ? a : b);
        }
        if (byId.equals(snapshot.byId())) {
            return;
        }
        Map<PoolId, List<Target>> byPool = new HashMap<>();
        byId.values().stream()
                .sorted(Comparator.comparing(Target::id))
                .forEach(t -> byPool.computeIfAbsent(t.pool(), k -> new ArrayList<>()).add(t));
        byPool.replaceAll((pool, list) -> List.copyOf(list));
        snapshot = new Snapshot(snapshot.version() + 1, byId, byPool);
    }

    private Target target(HostEntry h) {
        return new Target(
                h.target().orElseThrow(),
                h.host(),
                h.pool().orElseThrow(),
                h.failureDomain(),
                h.address(),
                service(h));
    }

    private ServiceState service(HostEntry h) {
        if (orders.isOutOfService(h.host(), h.failureDomain())) {
            return ServiceState.OUT_OF_SERVICE;
        }
        return h.state().acceptsWork() ? ServiceState.IN_SERVICE : ServiceState.DRAINING;
    }

    @Override
    public List<Target> targets(PoolId pool) {
        return snapshot.byPool().getOrDefault(pool, List.of());
    }

    /** Returns all targets in no particular order. */
    public Collection<Target> all() {
        return snapshot.byId().values();
    }

    @Override
    public Optional<Target> find(TargetId id) {
        return Optional.ofNullable(snapshot.byId().get(id));
    }

    @Override
    public long version() {
        return snapshot.version();
    }
}
