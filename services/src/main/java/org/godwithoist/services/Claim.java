package org.godwithoist.services;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;

/**
 * A claim on an idempotency key. Immutable.
 *
 * @param attempt the only attempt that may run under this claim
 * @param hash hash of the request
 * @param state state of the key
 * @param holder daemon that runs the attempt
 * @param incarnation incarnation of that daemon
 * @param createdAt time of the claim on the holder's wall clock
 * @param response the stored response; present if and only if the state is {@link
 *     ClaimState#ANSWERED}
 */
public record Claim(
        RequestId attempt,
        RequestHash hash,
        ClaimState state,
        HostId holder,
        long incarnation,
        Instant createdAt,
        Optional<StoredResponse> response) {
    /** Time after which a key may be reused. */
    public static final Duration TIME_TO_LIVE = Duration.ofHours(24);

    /** Returns a new claim of a running attempt. */
    public static Claim running(
            RequestId attempt, RequestHash hash, HostId holder, long incarnation, Instant now) {
        return new Claim(
                attempt, hash, ClaimState.RUNNING, holder, incarnation, now, Optional.empty());
    }

    /** Returns whether the key may be reused. */
    public boolean isExpired(Instant now) {
        return Duration.between(createdAt, now).compareTo(TIME_TO_LIVE) >= 0;
    }

    /**
     * Returns the claim after an event, or empty if the event removes the claim.
     *
     * @param newResponse the response if the event delivers one, otherwise empty
     * @throws IllegalStateException if the event is not permitted in this state
     */
    public Optional<Claim> after(ClaimEvent event, Optional<StoredResponse> newResponse) {
        ClaimState next =
                state.next(event)
                        .orElseThrow(
                                () ->
                                        new IllegalStateException(
                                                "a claim in state "
                                                        + state
                                                        + " does not permit event "
                                                        + event));
        if (next == ClaimState.FREE) {
            return Optional.empty();
        }
        return Optional.of(
                new Claim(attempt, hash, next, holder, incarnation, createdAt, newResponse));
    }

    /** Returns whether the given attempt still runs under this claim. */
    boolean isRunning(RequestId id) {
        return state == ClaimState.RUNNING && attempt.equals(id);
    }
}
