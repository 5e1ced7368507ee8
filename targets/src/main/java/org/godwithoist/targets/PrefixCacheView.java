package org.godwithoist.targets;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.SequencedMap;

/**
 * This daemon's local view of the prompt prefixes that one engine has cached. An engine evicts the
 * least recently used prefix first, and so does this class. Not thread-safe.
 */
final class PrefixCacheView {
    /**
     * Maximum number of tracked keys; more than an engine's memory holds at the usual prefix sizes.
     */
    private static final int MAX_KEYS = 2000;

    /** Prefixes that were unused for this long are assumed to be evicted. */
    private static final Duration UNUSED_TTL = Duration.ofMinutes(2);

    /** Time of the last use, the least recently used key first. */
    private final SequencedMap<PrefixKey, Long> lastUseTimes = new LinkedHashMap<>();

    void recordUse(PrefixKey key, long now) {
        lastUseTimes.remove(key);
        lastUseTimes.put(key, now);
        if (lastUseTimes.size() > MAX_KEYS) {
            lastUseTimes.pollFirstEntry();
        }
    }

    /** Returns when the engine last used the prefix; empty if the prefix is not cached. */
    Optional<Long> lastUse(PrefixKey key, long now) {
        Long usedAt = lastUseTimes.get(key);
        return usedAt == null || now - usedAt >= UNUSED_TTL.toNanos()
                ? Optional.empty()
                : Optional.of(usedAt);
    }
}
