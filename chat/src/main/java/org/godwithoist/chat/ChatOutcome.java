package org.godwithoist.chat;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.error.ErrorCode;

/**
 * How a request ended; feeds metrics and service-level reports.
 *
 * @param failure code of the failure; empty if the response is complete
 * @param callerDisconnected whether the caller had disconnected at the end; the fleet is then not
 *     responsible for a failure
 * @param firstToken time from the request to the first chunk; empty if there was none
 * @param betweenTokens mean time between two chunks; empty if there were fewer than two
 * @param total time from the request to its end
 * @param attempts attempts that were sent to engines
 * @param resumes connections that were replaced within an attempt
 */
public record ChatOutcome(
        Optional<ErrorCode> failure,
        boolean callerDisconnected,
        Optional<Duration> firstToken,
        Optional<Duration> betweenTokens,
        Duration total,
        int attempts,
        int resumes) {
    /** Receives the outcome of each request that this daemon owned. Must not block. */
    @FunctionalInterface
    public interface Observer {
        /** Ignores all outcomes. */
        Observer NONE = (request, outcome) -> {};

        /** Called once when a request ends, in the task of the request. */
        void ended(ChatRequest request, ChatOutcome outcome);
    }
}
