package org.godwithoist.routing;

/** How the engine that serves the next turn of a chat gets the KV cache of its history. */
public enum CacheStrategy {
    /** The engine has the history in its cache; only the remaining prompt is prefilled. */
    REUSE {
        @Override
        double costMs(double waitMs, double prefillAllMs, double prefillRestMs, double moveMs) {
            return waitMs + prefillRestMs;
        }
    },
    /** The cache is exported from the engine of the last turn and imported into this one. */
    IMPORT {
        @Override
        double costMs(double waitMs, double prefillAllMs, double prefillRestMs, double moveMs) {
            return waitMs + moveMs + prefillRestMs;
        }
    },
    /** The engine prefills the whole prompt. */
    PREFILL {
        @Override
        double costMs(double waitMs, double prefillAllMs, double prefillRestMs, double moveMs) {
            return waitMs + prefillAllMs;
        }
    };

    /**
     * Returns the expected time to the first token, in milliseconds.
     *
     * @param waitMs wait for a slot
     * @param prefillAllMs prefill of the whole prompt
     * @param prefillRestMs prefill of the prompt that is not cached
     * @param moveMs export and import of the cache
     */
    abstract double costMs(double waitMs, double prefillAllMs, double prefillRestMs, double moveMs);
}
