package org.godwithoist.routing;

/** How the engine that serves the next turn of a chat gets the KV cache of its history. */
public enum CacheStrategy {
    /** The engine has the history in its cache; only the remaining prompt is prefilled. */
    REUSE {
        @Override
        double costMs(
                double waitMs, double fullPrefillMs, double remainingPrefillMs, double transferMs) {
            return waitMs + remainingPrefillMs;
        }
    },
    /** The cache is exported from the engine of the last turn and imported into this one. */
    IMPORT {
        @Override
        double costMs(
                double waitMs, double fullPrefillMs, double remainingPrefillMs, double transferMs) {
            return waitMs + transferMs + remainingPrefillMs;
        }
    },
    /** The engine prefills the whole prompt. */
    PREFILL {
        @Override
        double costMs(
                double waitMs, double fullPrefillMs, double remainingPrefillMs, double transferMs) {
            return waitMs + fullPrefillMs;
        }
    };

    /**
     * Returns the expected time to the first token, in milliseconds.
     *
     * @param waitMs wait for a slot
     * @param fullPrefillMs prefill of the whole prompt
     * @param remainingPrefillMs prefill of the prompt that is not cached
     * @param transferMs export and import of the cache
     */
    abstract double costMs(
            double waitMs, double fullPrefillMs, double remainingPrefillMs, double transferMs);
}
