package org.godwithoist.membership;

import java.util.List;
import java.util.Optional;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;

/** The targets that this daemon knows. Thread-safe; every answer is a snapshot. */
public interface TargetDirectory {
    /** Returns all targets of a pool in id order, whatever their state. */
    List<Target> targets(PoolId pool);

    /** Returns a target, or empty if it is unknown. */
    Optional<Target> find(TargetId id);

    /** Returns a number that grows with each change, so that callers can cache what they derive. */
    long version();
}
