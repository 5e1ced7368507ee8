package org.godwithoist.routing;

import java.time.Duration;

/** Makes first-token times of prompts with and without cached history comparable. */
public final class PrefillTime {
    /** Tokens for which the time is stated. */
    private static final long REFERENCE_TOKENS = 1_000;

    /** The fixed delay of an engine outweighs the prefill of fewer tokens. */
    private static final long MIN_TOKENS = 256;

    private PrefillTime() {}

    /**
     * Returns the first-token time per 1,000 tokens of uncached prompt. Where most history is
     * cached, the raw time of an engine that reads whole prompts is many times the median, and the
     * engine would be taken for cold.
     *
     * @param firstToken measured time; zero stays zero, which means unknown
     * @param uncachedTokens tokens of the prompt that were not in the cache
     */
    public static Duration perReference(Duration firstToken, long uncachedTokens) {
        return firstToken
                .multipliedBy(REFERENCE_TOKENS)
                .dividedBy(Math.max(MIN_TOKENS, uncachedTokens));
    }
}
