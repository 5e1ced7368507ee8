package org.godwithoist.bundle;

import org.godwithoist.core.id.PoolId;

/**
 * The targets that serve one model or one service.
 *
 * @param id the pool
 * @param kind what its targets are
 * @param shards shards into which its targets are partitioned, at least 1
 * @param limits limits of its targets
 * @param fencing whether its targets check fencing numbers
 * @param cacheTokens tokens of prompt cache in one engine; 0 for services
 */
public record Pool(
        PoolId id,
        Kind kind,
        int shards,
        AdmissionLimits limits,
        FencingMode fencing,
        long cacheTokens) {
    /** What the targets of a pool are. */
    public enum Kind {
        /** Model engines. */
        ENGINE,
        /** Plain services. */
        SERVICE;
    }
}
