package org.godwithoist.standins.platform;

import io.vertx.core.json.JsonObject;

/**
 * Injected faults of the platform stand-in, set by {@code POST /faults}. Confined to one event
 * loop.
 */
final class PlatformFaults {
    private boolean down;
    private boolean unresponsive;
    private long delayMillis;
    private long hostLagMillis;
    private int lostCommitResponses;
    private int lostCommitRequests;

    void set(JsonObject body) {
        down = body.getBoolean("down", down);
        unresponsive = body.getBoolean("silent", unresponsive);
        delayMillis = body.getLong("delay_ms", delayMillis);
        hostLagMillis = body.getLong("host_lag_ms", hostLagMillis);
        lostCommitResponses = body.getInteger("lose_commit_answers", lostCommitResponses);
        lostCommitRequests = body.getInteger("lose_commit_requests", lostCommitRequests);
    }

    /** Returns whether every operation is rejected with status 503. */
    boolean down() {
        return down;
    }

    /** Returns whether operations receive no response; connections stay open. */
    boolean unresponsive() {
        return unresponsive;
    }

    /** Returns the delay before each operation in milliseconds. */
    long delayMillis() {
        return delayMillis;
    }

    /** Returns the lag in milliseconds of the host list that readers receive. */
    long hostLagMillis() {
        return hostLagMillis;
    }

    /** Returns whether this commit takes effect without a response; uses up one such fault. */
    boolean consumeLostResponse() {
        if (lostCommitResponses == 0) {
            return false;
        }
        lostCommitResponses--;
        return true;
    }

    /** Returns whether this commit is lost before it takes effect; uses up one such fault. */
    boolean consumeLostRequest() {
        if (lostCommitRequests == 0) {
            return false;
        }
        lostCommitRequests--;
        return true;
    }
}
