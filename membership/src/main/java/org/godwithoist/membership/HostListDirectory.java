package org.godwithoist.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.store.HostEntry;

/** Target directory filled from the platform's host list, without operator orders. Thread-safe. */
public final class HostListDirectory implements TargetDirectory {
    private record Snapshot(long version, List<Target> targets) {}

    private volatile Snapshot snapshot = new Snapshot(0, List.of());

    /** Replaces the targets by those of a host list; the version increases only if they differ. */
    public synchronized void update(List<HostEntry> hosts) {
        List<Target> targets =
                hosts.stream()
                        .filter(h -> h.kind().isTarget())
                        .map(HostListDirectory::target)
                        .sorted(Comparator.comparing(Target::id))
                        .toList();
        if (!targets.equals(snapshot.targets())) {
            snapshot = new Snapshot(snapshot.version() + 1, targets);
        }
    }

    @Override
    public List<Target> targets(PoolId pool) {
        return snapshot.targets().stream().filter(t -> t.pool().equals(pool)).toList();
    }

    @Override
    public Optional<Target> find(TargetId id) {
        return snapshot.targets().stream().filter(t -> t.id().equals(id)).findFirst();
    }

    @Override
    public long version() {
        return snapshot.version();
    }

    private static Target target(HostEntry h) {
        return new Target(
                h.target().orElseThrow(),
                h.host(),
                h.pool().orElseThrow(),
                h.failureDomain(),
                h.address(),
                h.state().acceptsWork() ? ServiceState.IN_SERVICE : ServiceState.DRAINING);
    }
}
