package org.godwithoist.routing;

import java.time.Duration;

/** Normalizes the time to the first token to the number of prefilled tokens. */
public final class PrefillTime {
    /** Number of tokens to which times are normalized. */
    private static final long NORMALIZED_TOKENS = 1_000;

    /**
     * Minimum number of tokens for the normalization; with fewer, the fixed delay of an engine
     * dominates the prefill time.
     */
    private static final long MIN_UNCACHED_TOKENS = 256;

    private PrefillTime() {}

    /**
     * Returns the time to the first token per 1,000 tokens of uncached prompt. Without this, where
     * most history is cached, the time of an engine that prefills whole prompts would be many times
     * the median, and the engine would be treated as cold.
     *
     * @param timeToFirstToken measured time; zero stays zero and means unknown
     * @param uncachedTokens tokens of the prompt that were not in the cache
     */
    public static Duration perThousandTokens(Duration timeToFirstToken, long uncachedTokens) {
        return timeToFirstToken
                .multipliedBy(NORMALIZED_TOKENS)
                .dividedBy(Math.max(MIN_UNCACHED_TOKENS, uncachedTokens));
    }
}
