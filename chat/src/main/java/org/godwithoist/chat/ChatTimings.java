package org.godwithoist.chat;

import java.time.Duration;

/**
 * Times of a request's life.
 *
 * @param stall time without event or keepalive after which a connection is taken for dead
 * @param reconnect time for which a request goes on without its caller
 * @param retryPatience longest wait for the retry budget
 * @param engineCall longest wait for a short call to an engine
 * @param settle time for which the engine of a lost attempt is asked for its count
 */
public record ChatTimings(
        Duration stall,
        Duration reconnect,
        Duration retryPatience,
        Duration engineCall,
        Duration settle) {
    /**
     * Engines send an event or a keepalive at least every 250 ms, so that four are missed before a
     * connection counts as dead. A slot in use is held while its engine is asked for the count; the
     * owner of the slot gives up after the same 15 s.
     */
    public static final ChatTimings DEFAULT =
            new ChatTimings(
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(15));

    /** Returns a copy with another time without events. */
    public ChatTimings withStall(Duration time) {
        return new ChatTimings(time, reconnect, retryPatience, engineCall, settle);
    }

    /** Returns a copy with another time without the caller. */
    public ChatTimings withReconnect(Duration time) {
        return new ChatTimings(stall, time, retryPatience, engineCall, settle);
    }

    /** Returns a copy with another wait for the retry budget. */
    public ChatTimings withRetryPatience(Duration time) {
        return new ChatTimings(stall, reconnect, time, engineCall, settle);
    }
}
