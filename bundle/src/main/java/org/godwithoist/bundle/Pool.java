package org.godwithoist.bundle;

import org.godwithoist.core.id.PoolId;

/**
 * Group of targets that serve the same models or the same service.
 *
 * @param id id of the pool
 * @param kind kind of its targets
 * @param shards number of shards into which its targets are partitioned, at least 1
 * @param limits admission limits of each target
 * @param fencing whether its targets check the fencing numbers of orders
 * @param cacheTokens size of an engine's prompt cache in tokens; 0 for services
 */
public record Pool(
        PoolId id,
        Kind kind,
        int shards,
        AdmissionLimits limits,
        FencingMode fencing,
        long cacheTokens) {
    /** Kind of the targets of a pool. */
    public enum Kind {
        /** Targets that run models. */
        ENGINE,
        /** Targets that run no models. */
        SERVICE;
    }
}
