package org.godwithoist.peers;

import java.time.Duration;
import java.util.OptionalLong;

/** What this daemon knows of another one. Thread-safe. */
final class Peer {
    /** A daemon that has said nothing for this long is silent. */
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

    /** Returns whether the daemon has said something a short time ago. */
    synchronized boolean speaks(long now) {
        return heardAt.isPresent() && now - heardAt.getAsLong() < SILENCE.toNanos();
    }

    /**
     * Returns whether the daemon is silent; the first question starts the time within which it is
     * expected to speak.
     */
    synchronized boolean silent(long now) {
        if (expectedSince.isEmpty()) {
            expectedSince = OptionalLong.of(now);
        }
        return !speaks(now) && now - expectedSince.getAsLong() >= SILENCE.toNanos();
    }
}
