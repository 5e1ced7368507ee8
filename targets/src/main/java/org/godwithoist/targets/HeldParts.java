package org.godwithoist.targets;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.SequencedMap;

/**
 * The prompt parts that one engine has read, as far as known. An engine gives up the parts that
 * were used least recently, and so does this. Not thread-safe.
 */
final class HeldParts {
    /** Keys remembered for an engine; more than fit into its memory at the usual sizes. */
    private static final int MOST_KEYS = 2000;

    /** Parts that were not used for this long are taken to have been given up. */
    private static final Duration LIFE = Duration.ofMinutes(2);

    /** Instants of the last use, in their order. */
    private final SequencedMap<PromptKey, Long> usedAt = new LinkedHashMap<>();

    void used(PromptKey key, long now) {
        usedAt.remove(key);
        usedAt.put(key, now);
        if (usedAt.size() > MOST_KEYS) {
            usedAt.pollFirstEntry();
        }
    }

    /** Returns when the engine last used the parts, or empty if it does not hold them. */
    Optional<Long> lastUse(PromptKey key, long now) {
        Long at = usedAt.get(key);
        return at == null || now - at >= LIFE.toNanos() ? Optional.empty() : Optional.of(at);
    }
}
