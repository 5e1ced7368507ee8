package org.godwithoist.routing;

/** How a chat gets its history into the engine that serves its next turn. */
public enum CacheStrategy {
    /** The engine has the history in its cache; only the rest is prefilled. */
    REUSE {
        @Override
        double costMs(double waitMs, double prefillAllMs, double prefillRestMs, double moveMs) {
            return waitMs + prefillRestMs;
        }
    },
    /** The cache is exported from the chat's engine and imported into this one. */
    IMPORT {
        @Override
        double costMs(double waitMs, double prefillAllMs, double prefillRestMs, double moveMs) {
            return waitMs + moveMs + prefillRestMs;
        }
    },
    /** The engine reads the whole prompt. */
    PREFILL {
        @Override
        double costMs(double waitMs, double prefillAllMs, double prefillRestMs, double moveMs) {
            return waitMs + prefillAllMs;
        }
    };

    /** Returns the expected time to the first token, in milliseconds. */
    abstract double costMs(double waitMs, double prefillAllMs, double prefillRestMs, double moveMs);
}
