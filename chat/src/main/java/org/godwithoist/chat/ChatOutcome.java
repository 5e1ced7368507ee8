package org.godwithoist.chat;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.error.ErrorCode;

/**
 * How a request ended; feeds metrics and service-level reports.
 *
 * @param failure code of the failure; empty if the whole answer was made
 * @param callerGone whether the caller was gone at the end; the failure is then no fault of the
 *     fleet
 * @param firstToken time from the request to the first piece; empty if there was none
 * @param betweenTokens mean time between two pieces; empty if there were fewer than two
 * @param total time from the request to its end
 * @param attempts attempts that were sent to engines
 * @param resumes connections that were replaced within an attempt
 */
public record ChatOutcome(
        Optional<ErrorCode> failure,
        boolean callerGone,
        Optional<Duration> firstToken,
        Optional<Duration> betweenTokens,
        Duration total,
        int attempts,
        int resumes) {
    /** Takes the outcome of each request that this daemon owned. Must not block. */
    @FunctionalInterface
    public interface Observer {
        /** Ignores all outcomes. */
        Observer NONE = (request, outcome) -> {};

        /** Takes one outcome. */
        void ended(ChatRequest request, ChatOutcome outcome);
    }
}
