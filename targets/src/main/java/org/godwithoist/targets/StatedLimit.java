package org.godwithoist.targets;

import java.time.Duration;
import java.util.Optional;

/**
 * A limit that one target states in its responses, for as long as it does, and that daemons tell
 * each other. Not thread-safe.
 *
 * @param <L> kind of limit
 */
class StatedLimit<L> {
    /**
     * Time without a statement of the target after which its limit ends. It spans two windows of a
     * {@link RequestRateLimiter}, so that the daemons with a share have sent a request meanwhile if
     * there was one.
     */
    static final Duration EXPIRY = Duration.ofSeconds(10);

    /** Time for which the other daemons are told that a limit has ended. */
    static final Duration END_ANNOUNCEMENT = Duration.ofSeconds(5);

    /**
     * News of an unchanged limit is used only if it is newer by this, because the time in which
     * messages travel makes news look newer with each daemon that forwards it.
     */
    private static final Duration MIN_REFRESH = Duration.ofMillis(500);

    private Optional<L> limit = Optional.empty();
    private boolean hasStatement;
    private long statedAt;
    private long changedAt;

    /** Returns the limit in force. */
    Optional<L> limit() {
        return limit;
    }

    /**
     * Records what a response states. One without a limit ends the limit only if its request was
     * sent after the limit became known, because responses arrive in any order.
     *
     * @return whether the limit has changed
     */
    boolean recordStatement(Optional<L> stated, long sentAt, long now) {
        if (stated.isEmpty() && (limit.isEmpty() || sentAt - changedAt < 0)) {
            return false;
        }
        return set(stated, now, now);
    }

    /**
     * Records news of another daemon.
     *
     * @return whether the limit has changed
     */
    boolean recordNews(LimitNews<L> news, long now) {
        long newsStatedAt = now - news.age().toNanos();
        boolean expired = news.age().compareTo(EXPIRY) >= 0;
        if (expired || !isNewer(news.limit(), newsStatedAt)) {
            return false;
        }
        return set(news.limit(), newsStatedAt, now);
    }

    private boolean isNewer(Optional<L> other, long otherStatedAt) {
        if (!hasStatement) {
            return other.isPresent();
        }
        long margin = other.equals(limit) ? MIN_REFRESH.toNanos() : 0;
        return otherStatedAt - statedAt > margin;
    }

    /** Ends a limit that no response has stated for {@link #EXPIRY}; returns whether so. */
    boolean expire(long now) {
        if (limit.isEmpty() || now - statedAt < EXPIRY.toNanos()) {
            return false;
        }
        limit = Optional.empty();
        hasStatement = false;
        return true;
    }

    private boolean set(Optional<L> next, long nextStatedAt, long now) {
        hasStatement = true;
        statedAt = nextStatedAt;
        if (next.equals(limit)) {
            return false;
        }
        limit = next;
        changedAt = now;
        return true;
    }

    /** Returns what the other daemons are to be told; empty if there is nothing to tell. */
    Optional<LimitNews<L>> news(TargetIncarnation target, long now) {
        if (!hasStatement) {
            return Optional.empty();
        }
        Duration age = Duration.ofNanos(Math.max(0, now - statedAt));
        Duration period = limit.isPresent() ? EXPIRY : END_ANNOUNCEMENT;
        return age.compareTo(period) < 0
                ? Optional.of(new LimitNews<>(target, limit, age))
                : Optional.empty();
    }
}
