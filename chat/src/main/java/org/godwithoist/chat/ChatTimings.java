package org.godwithoist.chat;

import java.time.Duration;

/**
 * Timeouts of a request.
 *
 * @param stallTimeout time without event or keepalive after which a connection is replaced
 * @param reconnectTimeout time for which a request continues without its caller
 * @param retryBudgetTimeout longest wait for the retry budget
 * @param engineCallTimeout timeout of a short call to an engine
 * @param settlementTimeout time for which the engine of a lost attempt is queried for its usage
 */
public record ChatTimings(
        Duration stallTimeout,
        Duration reconnectTimeout,
        Duration retryBudgetTimeout,
        Duration engineCallTimeout,
        Duration settlementTimeout) {
    /**
     * Engines send an event or a keepalive at least every 250 ms, so a connection is replaced after
     * four are missed. A slot in use is held while its engine is queried for the usage; the shard
     * owner gives up after the same 15 s.
     */
    public static final ChatTimings DEFAULT =
            new ChatTimings(
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(15));

    /** Returns a copy with another timeout for a stream without events. */
    public ChatTimings withStallTimeout(Duration timeout) {
        return new ChatTimings(
                timeout,
                reconnectTimeout,
                retryBudgetTimeout,
                engineCallTimeout,
                settlementTimeout);
    }

    /** Returns a copy with another time to wait for a disconnected caller. */
    public ChatTimings withReconnectTimeout(Duration timeout) {
        return new ChatTimings(
                stallTimeout, timeout, retryBudgetTimeout, engineCallTimeout, settlementTimeout);
    }

    /** Returns a copy with another longest wait for the retry budget. */
    public ChatTimings withRetryBudgetTimeout(Duration timeout) {
        return new ChatTimings(
                stallTimeout, reconnectTimeout, timeout, engineCallTimeout, settlementTimeout);
    }
}
