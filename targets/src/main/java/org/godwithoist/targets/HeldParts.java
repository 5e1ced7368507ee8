package org.godwithoist.targets;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.SequencedMap;

/**
 * This daemon's local view of the prompt prefixes that one engine has cached. An engine evicts the
 * least recently used prefix first, and so does this class. Not thread-safe.
 */
final class HeldParts {
    /**
     * Maximum number of tracked keys; more than an engine's memory holds at the usual prefix sizes.
     */
    private static final int MOST_KEYS = 2000;

    /** Prefixes that were unused for this long are assumed to be evicted. */
    private static final Duration LIFE = Duration.ofMinutes(2);

    /** Time of the last use, the least recently used key first. */
    private final SequencedMap<PromptKey, Long> usedAt = new LinkedHashMap<>();

    void used(PromptKey key, long now) {
        usedAt.remove(key);
        usedAt.put(key, now);
        if (usedAt.size() > MOST_KEYS) {
            usedAt.pollFirstEntry();
        }
    }

    /** Returns when the engine last used the prefix; empty if the prefix is not cached. */
    Optional<Long> lastUse(PromptKey key, long now) {
        Long at = usedAt.get(key);
        return at == null || now - at >= LIFE.toNanos() ? Optional.empty() : Optional.of(at);
    }
}
