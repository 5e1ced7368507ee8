package org.godwithoist.peers;

import java.time.Duration;
import java.util.OptionalLong;

/** State of another daemon as seen by this one. Instants are in nanoseconds. Thread-safe. */
final class Peer {
    /** Time without a message after which a daemon counts as unresponsive. */
    static final Duration SILENCE = Duration.ofSeconds(3);

    private Member member;
    private OptionalLong heardAt = OptionalLong.empty();
    private OptionalLong expectedSince = OptionalLong.empty();

    Peer(Member member) {
        this.member = member;
    }

    synchronized Member member() {
        return member;
    }

    synchronized void member(Member next) {
        member = next;
    }

    synchronized void heard(long now) {
        heardAt = OptionalLong.of(now);
    }

    /** Returns whether a message was received from the daemon within {@link #SILENCE}. */
    synchronized boolean speaks(long now) {
        return heardAt.isPresent() && now - heardAt.getAsLong() < SILENCE.toNanos();
    }

    /**
     * Returns whether the daemon is unresponsive. The first call starts the period within which a
     * first message is expected.
     */
    synchronized boolean silent(long now) {
        if (expectedSince.isEmpty()) {
            expectedSince = OptionalLong.of(now);
        }
        return !speaks(now) && now - expectedSince.getAsLong() >= SILENCE.toNanos();
    }
}
