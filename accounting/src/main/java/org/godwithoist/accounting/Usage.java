package org.godwithoist.accounting;

/**
 * Work that targets counted.
 *
 * @param requests requests that ran
 * @param promptTokens tokens read, cached ones included
 * @param cachedTokens tokens read from the prompt cache
 * @param completionTokens tokens generated
 */
public record Usage(long requests, long promptTokens, long cachedTokens, long completionTokens) {
    /** No work. */
    public static final Usage NONE = new Usage(0, 0, 0, 0);

    /** Returns the sum. */
    public Usage plus(Usage other) {
        return new Usage(
                requests + other.requests,
                promptTokens + other.promptTokens,
                cachedTokens + other.cachedTokens,
                completionTokens + other.completionTokens);
    }
}
