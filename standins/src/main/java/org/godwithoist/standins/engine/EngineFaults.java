package org.godwithoist.standins.engine;

import io.vertx.core.json.JsonObject;

/**
 * Injected faults of an engine stand-in, set by {@code POST /faults}. Confined to one event loop.
 */
final class EngineFaults {
    private boolean reject;
    private boolean hang;
    private boolean duplicate;
    private int cutAfterWords;
    private int slowFactor = 1;

    /** Sets the faults that the body contains and keeps the others. */
    void set(JsonObject body) {
        reject = body.getBoolean("refuse", reject);
        hang = body.getBoolean("hang", hang);
        duplicate = body.getBoolean("duplicate", duplicate);
        cutAfterWords = body.getInteger("cut_after_words", cutAfterWords);
        slowFactor = body.getInteger("slow_factor", slowFactor);
    }

    /** Returns whether new requests are rejected with status 503. */
    boolean reject() {
        return reject;
    }

    /** Returns whether new requests are accepted but never receive a response. */
    boolean hang() {
        return hang;
    }

    /** Returns whether each word is sent twice. */
    boolean duplicate() {
        return duplicate;
    }

    /** Returns the factor applied to all latencies; 1 is normal speed. */
    int slowFactor() {
        return slowFactor;
    }

    /**
     * Returns whether the connection must be cut after this word, and clears the fault if so: each
     * {@code cut_after_words} setting cuts one connection.
     */
    boolean consumeCut(int word) {
        if (cutAfterWords == 0 || word < cutAfterWords) {
            return false;
        }
        cutAfterWords = 0;
        return true;
    }
}
