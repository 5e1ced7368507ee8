package org.godwithoist.membership;

import java.time.Duration;

/**
 * Bounds of the time at which the platform returned a copy of the host list, on the clock of this
 * daemon. The exact time is unknown: the platform responded at some point between a request and its
 * response, and a peer computes the age of its copy at some point between the two. Comparing the
 * bounds instead of an estimate prevents a delayed response with an old copy from replacing a newer
 * one.
 *
 * @param earliest ticker time in nanoseconds
 * @param latest ticker time in nanoseconds, at least {@code earliest}
 */
public record ReadTime(long earliest, long latest) {
    /**
     * Returns the bounds for a copy that a peer sent.
     *
     * @param sentAt ticker time at which the request was sent
     * @param receivedAt ticker time at which the response was received
     */
    public static ReadTime ofPeer(long sentAt, long receivedAt, HostListMessage.Age age) {
        return new ReadTime(sentAt - age.max().toNanos(), receivedAt - age.min().toNanos());
    }

    /** Returns whether this copy was certainly returned after another one. */
    public boolean isAfter(ReadTime other) {
        return earliest - other.latest > 0;
    }

    /**
     * Returns the age of the copy, rounded outwards to whole milliseconds, the resolution of
     * messages.
     */
    public HostListMessage.Age age(long now) {
        Duration max = Duration.ofNanos(Math.max(0, now - earliest));
        Duration min = Duration.ofNanos(Math.max(0, now - latest));
        return new HostListMessage.Age(
                Duration.ofMillis(max.toMillis() + 1), Duration.ofMillis(min.toMillis()));
    }
}
