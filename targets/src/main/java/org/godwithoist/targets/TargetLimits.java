package org.godwithoist.targets;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.time.Ticker;

/**
 * The limits that one incarnation of a target states in its responses, for its request rate and for
 * its rejections, and what this daemon has used of them. The observer is called without a lock.
 * Thread-safe.
 */
public final class TargetLimits {
    private final Target target;
    private final LimitObserver observer;
    private final Ticker ticker;
    private final RequestRateLimiter rateLimiter = new RequestRateLimiter();
    private final RejectionLimiter rejectionLimiter = new RejectionLimiter();

    /** Whether there is a rate limit, to be read without a lock. */
    private volatile boolean rateLimited;

    /** Whether there is a rejection limit, to be read without a lock. */
    private volatile boolean rejectionLimited;

    private boolean unusableRateReported;
    private boolean unusableRejectionLimitReported;

    /** Whether only another target of the service has stated the rejection limit. */
    private boolean rejectionLimitInherited;

    /** Time of the last response that could state a rejection limit; empty if there was none. */
    private Optional<Long> rejectionStatementAt = Optional.empty();

    /**
     * Creates an instance without limits.
     *
     * @param target the target that the observer is told of
     */
    TargetLimits(Target target, LimitObserver observer, Ticker ticker) {
        this.target = target;
        this.observer = observer;
        this.ticker = ticker;
    }

    // ---- rate limit

    /**
     * Records what a response of the target states about its rate limit.
     *
     * @param sentAt when the request of the response was sent
     */
    public void recordRate(LimitStatement<RateLimit> statement, long sentAt) {
        if (statement.unusable().isPresent() && isFirstUnusableRate()) {
            observer.rateUnusable(target, statement.unusable().get());
        }
        boolean changed;
        synchronized (this) {
            changed = rateLimiter.recordStatement(statement.limit(), sentAt, ticker.nanos());
            rateLimited = rateLimiter.limit().isPresent();
        }
        if (changed) {
            observer.rateLimitChanged(target, statement.limit(), LimitSource.RESPONSE);
        }
    }

    private synchronized boolean isFirstUnusableRate() {
        boolean isFirst = !unusableRateReported;
        unusableRateReported = true;
        return isFirst;
    }

    /** Records what another daemon tells about the rate limit. */
    void recordRateNews(LimitNews<RateLimit> news) {
        boolean changed;
        synchronized (this) {
            changed = rateLimiter.recordNews(news, ticker.nanos());
            rateLimited = rateLimiter.limit().isPresent();
        }
        if (changed) {
            observer.rateLimitChanged(target, news.limit(), LimitSource.PEER);
        }
    }

    /** Ends a rate limit that no response has stated for a long time. */
    void expireRate() {
        boolean expired;
        synchronized (this) {
            expired = rateLimiter.expire(ticker.nanos());
            rateLimited = rateLimiter.limit().isPresent();
        }
        if (expired) {
            observer.rateLimitChanged(target, Optional.empty(), LimitSource.EXPIRY);
        }
    }

    /** Returns what the other daemons are to be told about the rate limit. */
    synchronized Optional<LimitNews<RateLimit>> rateNews(TargetIncarnation incarnation) {
        return rateLimiter.news(incarnation, ticker.nanos());
    }

    /** Returns the rate limit in force; empty if there is none. */
    public synchronized Optional<RateLimit> rate() {
        return rateLimiter.limit();
    }

    /** Returns the time until the rate limit permits a request of this daemon, or zero. */
    Duration rateWait(FleetShare share, long now) {
        if (!rateLimited) {
            return Duration.ZERO;
        }
        synchronized (this) {
            return rateLimiter.wait(share, salt(), now);
        }
    }

    // ---- rejection limit

    /**
     * Records what a response of the target states about the rejections that it survives.
     *
     * @param sentAt when the request of the response was sent
     */
    public void recordRejectionLimit(LimitStatement<RejectionLimit> statement, long sentAt) {
        if (statement.unusable().isPresent() && isFirstUnusableRejectionLimit()) {
            observer.rejectionLimitUnusable(target, statement.unusable().get());
        }
        boolean changed;
        synchronized (this) {
            long now = ticker.nanos();
            rejectionStatementAt = Optional.of(now);
            rejectionLimitInherited &= statement.limit().isEmpty();
            changed = rejectionLimiter.recordStatement(statement.limit(), sentAt, now);
            rejectionLimited = rejectionLimiter.limit().isPresent();
        }
        if (changed) {
            observer.rejectionLimitChanged(target, statement.limit(), LimitSource.RESPONSE);
        }
    }

    private synchronized boolean isFirstUnusableRejectionLimit() {
        boolean isFirst = !unusableRejectionLimitReported;
        unusableRejectionLimitReported = true;
        return isFirst;
    }

    /** Records what another daemon tells about the rejection limit. */
    void recordRejectionNews(LimitNews<RejectionLimit> news) {
        boolean changed;
        synchronized (this) {
            changed = rejectionLimiter.recordNews(news, ticker.nanos());
            rejectionLimitInherited &= !changed;
            rejectionLimited = rejectionLimiter.limit().isPresent();
        }
        if (changed) {
            observer.rejectionLimitChanged(target, news.limit(), LimitSource.PEER);
        }
    }

    /**
     * Records what another target of the service states about its rejection limit. It counts for
     * this target too as long as this one has not responded, because a target that has just started
     * or gets few requests would otherwise reject many before its first response.
     */
    void inheritRejectionLimit(LimitNews<RejectionLimit> news) {
        boolean changed;
        synchronized (this) {
            if (hasStatedRejections()) {
                return;
            }
            changed = rejectionLimiter.recordNews(news, ticker.nanos());
            rejectionLimitInherited |= changed;
            rejectionLimited = rejectionLimiter.limit().isPresent();
        }
        if (changed) {
            observer.rejectionLimitChanged(target, news.limit(), LimitSource.SERVICE);
        }
    }

    private boolean hasStatedRejections() {
        long now = ticker.nanos();
        return rejectionStatementAt
                .filter(at -> now - at < StatedLimit.EXPIRY.toNanos())
                .isPresent();
    }

    /** Ends a rejection limit that no response has stated for a long time. */
    void expireRejectionLimit() {
        boolean expired;
        synchronized (this) {
            expired = rejectionLimiter.expire(ticker.nanos());
            rejectionLimited = rejectionLimiter.limit().isPresent();
        }
        if (expired) {
            observer.rejectionLimitChanged(target, Optional.empty(), LimitSource.EXPIRY);
        }
    }

    /**
     * Returns what the other daemons are to be told about the rejection limit; empty also if only
     * another target of the service has stated it.
     */
    synchronized Optional<LimitNews<RejectionLimit>> rejectionNews(TargetIncarnation incarnation) {
        return rejectionLimitInherited
                ? Optional.empty()
                : rejectionLimiter.news(incarnation, ticker.nanos());
    }

    /** Returns the rejection limit in force; empty if there is none. */
    public synchronized Optional<RejectionLimit> rejections() {
        return rejectionLimiter.limit();
    }

    /** Returns whether there is a rejection limit. */
    boolean limitsRejections() {
        return rejectionLimited;
    }

    /** Returns whether the rejection limit permits a request of this daemon. */
    synchronized boolean permits(Room room, FleetShare share, long now) {
        return rejectionLimiter.permits(room, share, salt(), now);
    }

    // ---- requests

    /** Counts a request that is about to be sent. */
    synchronized void recordSent(Room room, FleetShare share, long now) {
        rateLimiter.recordSent(now);
        rejectionLimiter.recordSent(room, share, salt(), now);
    }

    /** Returns the request that was counted last, for the record of its end. */
    synchronized Optional<RejectionLimiter.SentRequest> takeSent() {
        return rejectionLimiter.takeSent();
    }

    /** Records that the target has begun to respond to a request, so that it had room for it. */
    synchronized void recordAccepted(RejectionLimiter.SentRequest request) {
        rejectionLimiter.recordAccepted(request);
    }

    /** Records that the target has rejected a request for want of room. */
    synchronized void recordRejected(Optional<RejectionLimiter.SentRequest> request) {
        rejectionLimiter.recordRejected(request, ticker.nanos());
    }

    /** Records that a request has ended. */
    synchronized void recordEnded(RejectionLimiter.SentRequest request) {
        rejectionLimiter.recordEnded(request);
    }

    /** Distributes the requests of the daemons differently for each target. */
    private int salt() {
        return target.id().hashCode();
    }
}
