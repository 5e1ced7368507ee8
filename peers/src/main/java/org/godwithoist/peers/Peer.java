package org.godwithoist.peers;

import java.time.Duration;
import java.util.OptionalLong;

/** Another daemon as seen by this one. Instants are in nanoseconds of the ticker. Thread-safe. */
final class Peer {
    /** Time without a message after which a daemon counts as unresponsive. */
    static final Duration UNRESPONSIVE_AFTER = Duration.ofSeconds(3);

    /**
     * Time after a message about its contact with the store for which a daemon counts as one that
     * learns of new versions.
     */
    static final Duration STORE_CONTACT_LIFE = Duration.ofMillis(800);

    private Member member;
    private OptionalLong lastMessageAt = OptionalLong.empty();
    private OptionalLong storeContactAt = OptionalLong.empty();
    private OptionalLong incarnation = OptionalLong.empty();
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

    /** Records that the daemon has said that it is in contact with the store. */
    synchronized void recordStoreContact(long now) {
        storeContactAt = OptionalLong.of(now);
    }

    /** Returns whether the daemon has said so within {@link #STORE_CONTACT_LIFE}. */
    synchronized boolean hasStoreContact(long now) {
        return isWithin(STORE_CONTACT_LIFE, storeContactAt, now);
    }

    /** Returns whether any message was received from the daemon within the same time. */
    synchronized boolean isHeardNow(long now) {
        return isWithin(STORE_CONTACT_LIFE, lastMessageAt, now);
    }

    private static boolean isWithin(Duration time, OptionalLong last, long now) {
        return last.isPresent() && now - last.getAsLong() < time.toNanos();
    }

    /**
     * Records the start time that the daemon states; returns whether it has started since the last
     * call, or is new. A delayed message of an earlier start is ignored.
     */
    synchronized boolean recordIncarnation(long startedAt) {
        if (incarnation.isPresent() && startedAt <= incarnation.getAsLong()) {
            return false;
        }
        incarnation = OptionalLong.of(startedAt);
        return true;
    }

    /**
     * Returns whether a message was received from the daemon within {@link #UNRESPONSIVE_AFTER}.
     */
    synchronized boolean isRecentlyActive(long now) {
        return isWithin(UNRESPONSIVE_AFTER, lastMessageAt, now);
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
