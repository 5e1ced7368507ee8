package org.godwithoist.peers;

import java.time.Duration;
import java.util.OptionalLong;

/** Another daemon as seen by this one. Instants are in nanoseconds of the ticker. Thread-safe. */
final class Peer {
    /** Time without a message after which a daemon counts as unresponsive. */
    static final Duration UNRESPONSIVE_AFTER = Duration.ofSeconds(3);

    private Member member;
    private OptionalLong lastMessageAt = OptionalLong.empty();
    private OptionalLong firstCheckedAt = OptionalLong.empty();

    Peer(Member member) {
        this.member = member;
    }

    synchronized Member member() {
        return member;
    }

    synchronized void setMember(Member next) {
        member = next;
    }

    synchronized void recordMessage(long now) {
        lastMessageAt = OptionalLong.of(now);
    }

    /**
     * Returns whether a message was received from the daemon within {@link #UNRESPONSIVE_AFTER}.
     */
    synchronized boolean isRecentlyActive(long now) {
        return lastMessageAt.isPresent()
                && now - lastMessageAt.getAsLong() < UNRESPONSIVE_AFTER.toNanos();
    }

    /**
     * Returns whether the daemon is unresponsive. The first call starts the period within which a
     * first message is expected.
     */
    synchronized boolean isUnresponsive(long now) {
        if (firstCheckedAt.isEmpty()) {
            firstCheckedAt = OptionalLong.of(now);
        }
        return !isRecentlyActive(now)
                && now - firstCheckedAt.getAsLong() >= UNRESPONSIVE_AFTER.toNanos();
    }
}
