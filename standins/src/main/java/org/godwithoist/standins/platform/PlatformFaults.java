package org.godwithoist.standins.platform;

import io.vertx.core.json.JsonObject;

/** Fault switches of the platform stand-in; set by {@code POST /faults}. Used on one event loop. */
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

    /** Every operation is refused with status 503. */
    boolean down() {
        return down;
    }

    /** No operation is answered; connections stay open. */
    boolean silent() {
        return silent;
    }

    /** Time before each operation. */
    long delayMillis() {
        return delayMillis;
    }

    /** Age of the host list that readers see. */
    long hostLagMillis() {
        return hostLagMillis;
    }

    /** Returns whether this commit takes effect without an answer. */
    boolean takeLostAnswer() {
        if (loseCommitAnswers == 0) {
            return false;
        }
        loseCommitAnswers--;
        return true;
    }

    /** Returns whether this commit is lost before it takes effect. */
    boolean takeLostRequest() {
        if (loseCommitRequests == 0) {
            return false;
        }
        loseCommitRequests--;
        return true;
    }
}
