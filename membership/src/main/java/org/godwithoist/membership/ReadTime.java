package org.godwithoist.membership;

import java.time.Duration;

/**
 * When the platform returned a copy of the host list, on the clock of this daemon. The moment is
 * known only within bounds: the platform answered between a request and its response, and a peer
 * states the age of its copy at an unknown moment between the two. Comparing the bounds instead of
 * an estimate keeps a delayed response from passing an old copy off as a young one.
 *
 * @param earliest in nanoseconds
 * @param latest in nanoseconds, at least {@code earliest}
 */
public record ReadTime(long earliest, long latest) {
    /** Returns the time of a copy that a peer sent. */
    public static ReadTime ofPeer(long sentAt, long receivedAt, HostListMessage.Age age) {
        return new ReadTime(sentAt - age.oldest().toNanos(), receivedAt - age.youngest().toNanos());
    }

    /** Returns whether the copy was certainly returned after another one. */
    public boolean isAfter(ReadTime other) {
        return earliest - other.latest > 0;
    }

    /** Returns the age of the copy, rounded outwards to the milliseconds of the messages. */
    public HostListMessage.Age age(long now) {
        Duration oldest = Duration.ofNanos(Math.max(0, now - earliest));
        Duration youngest = Duration.ofNanos(Math.max(0, now - latest));
        return new HostListMessage.Age(
                Duration.ofMillis(oldest.toMillis() + 1), Duration.ofMillis(youngest.toMillis()));
    }
}
