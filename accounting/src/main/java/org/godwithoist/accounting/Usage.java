package org.godwithoist.accounting;

/**
 * Usage counted by targets.
 *
 * @param requests number of attempts that ran
 * @param promptTokens number of prompt tokens, including cached ones
 * @param cachedTokens number of prompt tokens read from the prompt cache
 * @param completionTokens number of generated tokens
 */
public record Usage(long requests, long promptTokens, long cachedTokens, long completionTokens) {
    /** Zero usage. */
    public static final Usage NONE = new Usage(0, 0, 0, 0);

    /** Returns the sum of both values in each field. */
    public Usage plus(Usage other) {
        return new Usage(
                requests + other.requests,
                promptTokens + other.promptTokens,
                cachedTokens + other.cachedTokens,
                completionTokens + other.completionTokens);
    }
}
