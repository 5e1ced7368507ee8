package org.godwithoist.standins.platform;

import io.vertx.core.json.JsonObject;

/**
 * Injected faults of the platform stand-in, set by {@code POST /faults}. Confined to one event
 * loop.
 */
final class PlatformFaults {
    private boolean down;
    private boolean silent;
    private long delayMillis;
    private long hostLagMillis;
    private int loseCommitAnswers;
    private int loseCommitRequests;

    void set(JsonObject body) {
        down = body.getBoolean("down", down);
        silent = body.getBoolean("silent", silent);
        delayMillis = body.getLong("delay_ms", delayMillis);
        hostLagMillis = body.getLong("host_lag_ms", hostLagMillis);
        loseCommitAnswers = body.getInteger("lose_commit_answers", loseCommitAnswers);
        loseCommitRequests = body.getInteger("lose_commit_requests", loseCommitRequests);
    }

    /** Whether every operation is rejected with status 503. */
    boolean down() {
        return down;
    }

    /** Whether operations receive no response; connections stay open. */
    boolean silent() {
        return silent;
    }

    /** Delay before each operation in milliseconds. */
    long delayMillis() {
        return delayMillis;
    }

    /** Lag in milliseconds of the host list that readers receive. */
    long hostLagMillis() {
        return hostLagMillis;
    }

    /** Returns whether this commit takes effect but loses its response, and counts it. */
    boolean takeLostAnswer() {
        if (loseCommitAnswers == 0) {
            return false;
        }
        loseCommitAnswers--;
        return true;
    }

    /** Returns whether this commit is lost before it takes effect, and counts it. */
    boolean takeLostRequest() {
        if (loseCommitRequests == 0) {
            return false;
        }
        loseCommitRequests--;
        return true;
    }
}
