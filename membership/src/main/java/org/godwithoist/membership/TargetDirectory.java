package org.godwithoist.membership;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;

/** Targets known to this daemon. Thread-safe; every result is a snapshot. */
public interface TargetDirectory {
    /**
     * Returns all targets of a pool in id order, whatever their state; empty if the pool is
     * unknown.
     */
    List<Target> targets(PoolId pool);

    /** Returns a target, or empty if it is unknown. */
    Optional<Target> find(TargetId id);

    /**
     * Returns a version that increases with each change, so that callers can cache derived data.
     */
    long version();
}
