package org.godwithoist.standins.engine;

/**
 * Latencies, capacities and fault rates of an engine stand-in. Immutable.
 *
 * @param slots maximum number of concurrently generating requests; others queue by priority
 * @param prefillMicrosPerToken prefill time per prompt token that is not cached
 * @param tokenMillis time between tokens while a single request is in progress
 * @param cacheTokens capacity of the prompt cache in tokens
 * @param warmupResponses responses after which a cold engine becomes warm
 * @param coldSlowdown factor applied to all latencies while the engine is cold
 * @param loadLagMillis minimum age of a load report before readers receive it
 * @param eventLagMillis delay before a cache event becomes visible
 * @param eventLossPercent percentage of cache events that are dropped
 * @param checksFencing whether orders with an outdated fencing number are rejected
 * @param incarnation number that identifies this run of the engine in load reports
 */
public record EngineOptions(
        int slots,
        long prefillMicrosPerToken,
        long tokenMillis,
        long cacheTokens,
        int warmupResponses,
        int coldSlowdown,
        long loadLagMillis,
        long eventLagMillis,
        int eventLossPercent,
        boolean checksFencing,
        long incarnation) {
    /** A small, fast engine for acceptance tests and demonstrations. */
    public static final EngineOptions DEFAULT =
            new EngineOptions(16, 50, 5, 100_000, 4, 5, 300, 300, 5, true, 1);

    /** Returns a copy with the given time between tokens. */
    public EngineOptions withTokenMillis(long millis) {
        return new EngineOptions(
                slots,
                prefillMicrosPerToken,
                millis,
                cacheTokens,
                warmupResponses,
                coldSlowdown,
                loadLagMillis,
                eventLagMillis,
                eventLossPercent,
                checksFencing,
                incarnation);
    }

    /** Returns a copy with the given incarnation. */
    public EngineOptions withIncarnation(long number) {
        return new EngineOptions(
                slots,
                prefillMicrosPerToken,
                tokenMillis,
                cacheTokens,
                warmupResponses,
                coldSlowdown,
                loadLagMillis,
                eventLagMillis,
                eventLossPercent,
                checksFencing,
                number);
    }

    /** Returns a copy that checks or ignores fencing numbers. */
    public EngineOptions withChecksFencing(boolean checks) {
        return new EngineOptions(
                slots,
                prefillMicrosPerToken,
                tokenMillis,
                cacheTokens,
                warmupResponses,
                coldSlowdown,
                loadLagMillis,
                eventLagMillis,
                eventLossPercent,
                checks,
                incarnation);
    }
}
