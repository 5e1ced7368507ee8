package org.godwithoist.quarantine;

import org.godwithoist.targets.PrefixKey;
import org.godwithoist.targets.TargetIncarnation;

/**
 * Identifies the crash of one incarnation of a target. All daemons that observe the crash use the
 * same id.
 *
 * @param hash 64-bit hash of the incarnation
 */
public record CrashId(long hash) {
    /** Returns the id of the crash of an incarnation, which can crash only once. */
    public static CrashId of(TargetIncarnation target) {
        return new CrashId(PrefixKey.of(target.id() + "@" + target.startedAt()).hash());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CrashId o && hash == o.hash;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(hash);
    }
}
