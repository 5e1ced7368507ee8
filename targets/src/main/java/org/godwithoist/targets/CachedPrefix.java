package org.godwithoist.targets;

import org.godwithoist.core.id.TargetId;

/**
 * A prompt prefix that an engine has processed and keeps in its cache for a time.
 *
 * @param target the engine
 * @param key key of the prefix
 */
public record CachedPrefix(TargetId target, PrefixKey key) {
    @Override
    public boolean equals(Object other) {
        return other instanceof CachedPrefix o && target.equals(o.target) && key.equals(o.key);
    }

    @Override
    public int hashCode() {
        return 31 * target.hashCode() + key.hashCode();
    }
}
