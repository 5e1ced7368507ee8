package org.godwithoist.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;

/**
 * Index of the targets of all pools by id. It is rebuilt only when the target directory or the
 * bundle changes, so that a lookup takes constant time.
 */
final class TargetIndex {
    private record Snapshot(long version, Bundle bundle, Map<TargetId, Target> targets) {}

    private final Supplier<Bundle> bundle;
    private final TargetDirectory directory;
    private volatile Snapshot snapshot;

    TargetIndex(Supplier<Bundle> bundle, TargetDirectory directory) {
        this.bundle = bundle;
        this.directory = directory;
    }

    Optional<Target> find(TargetId id) {
        return Optional.ofNullable(current().targets().get(id));
    }

    boolean acceptsWork(TargetId id) {
        Target t = current().targets().get(id);
        return t != null && t.serviceState().acceptsWork();
    }

    /** Comparing a bundle with itself takes constant time, because its parts are identical. */
    private Snapshot current() {
        Snapshot s = snapshot;
        Bundle b = bundle.get();
        long version = directory.version();
        if (s == null || s.version() != version || !s.bundle().equals(b)) {
            Map<TargetId, Target> targets = new HashMap<>();
            for (Pool pool : b.pools().values()) {
                directory.targets(pool.id()).forEach(t -> targets.put(t.id(), t));
            }
            s = new Snapshot(version, b, targets);
            snapshot = s;
        }
        return s;
    }
}
