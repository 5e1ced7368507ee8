package org.godwithoist.standins.engine;

import io.vertx.core.json.JsonObject;

/** Fault switches of an engine stand-in; set by {@code POST /faults}. Used on one event loop. */
final class EngineFaults {
    private boolean refuse;
    private boolean hang;
    private boolean duplicate;
    private int cutAfterWords;
    private int slowFactor = 1;

    /** Sets the switches that the body names and leaves the others. */
    void set(JsonObject body) {
        refuse = body.getBoolean("refuse", refuse);
        hang = body.getBoolean("hang", hang);
        duplicate = body.getBoolean("duplicate", duplicate);
        cutAfterWords = body.getInteger("cut_after_words", cutAfterWords);
        slowFactor = body.getInteger("slow_factor", slowFactor);
    }

    /** New requests are refused with status 503. */
    boolean refuse() {
        return refuse;
    }

    /** New requests are accepted and never answered. */
    boolean hang() {
        return hang;
    }

    /** Each piece is sent twice. */
    boolean duplicate() {
        return duplicate;
    }

    /** Factor on all times. */
    int slowFactor() {
        return slowFactor;
    }

    /**
     * Returns whether the connection is to be cut after this word; happens once for each setting.
     */
    boolean takeCut(int word) {
        if (cutAfterWords == 0 || word < cutAfterWords) {
            return false;
        }
        cutAfterWords = 0;
        return true;
    }
}
