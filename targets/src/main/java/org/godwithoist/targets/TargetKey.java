package org.godwithoist.targets;

import org.godwithoist.core.id.TargetId;

/**
 * Short form of a target's id in messages that list many targets. Two ids with the same hash, of
 * which there are hardly any, would share their work and their work time.
 *
 * @param hash 32-bit hash of the id
 */
public record TargetKey(int hash) {
    /** Returns the key of a target. */
    public static TargetKey of(TargetId id) {
        return new TargetKey((int) PrefixKey.of(id.value()).hash());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TargetKey o && hash == o.hash;
    }

    @Override
    public int hashCode() {
        return hash;
    }
}
