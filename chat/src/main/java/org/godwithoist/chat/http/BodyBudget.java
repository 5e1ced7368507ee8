package org.godwithoist.chat.http;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.godwithoist.core.time.Ticker;

/**
 * Counts the memory of requests with a body, from the first byte until the request ends. Large
 * bodies leave a part of the memory to small ones. If there is no room, the body that lags most
 * behind the slowest permitted rate gives way; without one, the body that needs more is refused.
 * Thread-safe.
 */
final class BodyBudget {
    /** Share of the heap for all requests with a body. */
    private static final double HEAP_SHARE = 0.4;

    /** Share of that memory for large bodies. */
    private static final double LARGE_SHARE = 0.8;

    /** Size from which a body is large, in bytes. */
    private static final int LARGE_BODY_BYTES = 128 << 10;

    /** Memory for each byte: the body, its decoded values, and the texts for the engine. */
    private static final int MEMORY_FACTOR = 5;

    /** Memory of a request besides its body, in bytes. */
    private static final int REQUEST_BYTES = 4096;

    /** Rate at which each received byte counts as progress. */
    private static final int MIN_BYTES_PER_SECOND = 64 << 10;

    /** Time behind that rate after which a body gives way to others. */
    private static final Duration MAX_LAG = Duration.ofSeconds(1);

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final long limit;
    private final long largeLimit;
    private final Ticker ticker;
    private final Set<Claim> receiving = new LinkedHashSet<>();
    private long used;
    private long usedByLarge;

    /** The memory of a request. Its fields are guarded by the budget. */
    final class Claim {
        private final Runnable onRevoked;
        private long memory;
        private int bodyBytes;
        private long lagsSince = ticker.nanos();
        private boolean ended;

        private Claim(Runnable onRevoked) {
            this.onRevoked = onRevoked;
        }

        /**
         * Adds received bytes.
         *
         * @return false if there is no memory for them
         */
        boolean add(int bytes) {
            boolean added = tryAdd(this, bytes);
            boolean hasRelief = true;
            while (!added && hasRelief) {
                Optional<Claim> revoked = revokeFor(this, bytes);
                revoked.ifPresent(c -> c.onRevoked.run());
                hasRelief = revoked.isPresent();
                added = tryAdd(this, bytes);
            }
            return added;
        }

        /**
         * Records that the body is complete, so that it gives way to no others.
         *
         * @return false if the memory was taken for others before
         */
        boolean complete() {
            synchronized (BodyBudget.this) {
                receiving.remove(this);
                return !ended;
            }
        }

        /** Releases the memory. Has no effect if it was released before. */
        void release() {
            BodyBudget.this.release(this);
        }

        private boolean isLarge() {
            return isLargeWith(0);
        }

        private boolean isLargeWith(int moreBytes) {
            return bodyBytes + moreBytes > LARGE_BODY_BYTES;
        }

        private long memoryWith(int moreBytes) {
            return REQUEST_BYTES + (long) MEMORY_FACTOR * (bodyBytes + moreBytes);
        }

        private long lagNanos() {
            return ticker.nanos() - lagsSince;
        }
    }

    private BodyBudget(long limit, long largeLimit, Ticker ticker) {
        this.limit = limit;
        this.largeLimit = largeLimit;
        this.ticker = ticker;
    }

    /**
     * Creates a budget without claims.
     *
     * @param maxHeapBytes maximum size of the heap
     * @param maxBodyBytes largest permitted body, which always fits if there is no other one
     */
    static BodyBudget ofHeap(long maxHeapBytes, long maxBodyBytes, Ticker ticker) {
        double share = HEAP_SHARE * maxHeapBytes;
        long largest = REQUEST_BYTES + MEMORY_FACTOR * maxBodyBytes;
        long largeLimit = Math.max(largest, (long) (LARGE_SHARE * share));
        return new BodyBudget(largeLimit + (long) ((1 - LARGE_SHARE) * share), largeLimit, ticker);
    }

    /**
     * Returns a claim without received bytes; empty if there is no memory for it.
     *
     * @param onRevoked called when the memory was taken for others; the body must be dropped
     */
    Optional<Claim> claim(Runnable onRevoked) {
        Claim claim = new Claim(onRevoked);
        return claim.add(0) ? Optional.of(claim) : Optional.empty();
    }

    /** Returns the memory that is in use, in bytes. */
    synchronized long used() {
        return used;
    }

    private synchronized boolean tryAdd(Claim claim, int bytes) {
        if (claim.ended) {
            return false;
        }
        long memory = claim.memoryWith(bytes);
        long newUsed = used - claim.memory + memory;
        long newUsedByLarge =
                usedByLarge
                        - (claim.isLarge() ? claim.memory : 0)
                        + (claim.isLargeWith(bytes) ? memory : 0);
        if (newUsed > limit || newUsedByLarge > largeLimit) {
            return false;
        }
        receiving.add(claim);
        used = newUsed;
        usedByLarge = newUsedByLarge;
        claim.memory = memory;
        claim.bodyBytes += bytes;
        long progress = NANOS_PER_SECOND * bytes / MIN_BYTES_PER_SECOND;
        claim.lagsSince = Math.min(ticker.nanos(), claim.lagsSince + progress);
        return true;
    }

    /**
     * Takes the memory of the body that lags most, if one lags for too long. Small bodies do not
     * give way to large ones.
     */
    private synchronized Optional<Claim> revokeFor(Claim claim, int bytes) {
        boolean isLarge = claim.isLargeWith(bytes);
        if (claim.ended) {
            return Optional.empty();
        }
        Optional<Claim> last =
                receiving.stream()
                        .filter(c -> c != claim && (c.isLarge() || !isLarge))
                        .filter(c -> c.lagNanos() >= MAX_LAG.toNanos())
                        .max(Comparator.comparingLong(Claim::lagNanos));
        last.ifPresent(this::release);
        return last;
    }

    private synchronized void release(Claim claim) {
        if (claim.ended) {
            return;
        }
        claim.ended = true;
        receiving.remove(claim);
        used -= claim.memory;
        if (claim.isLarge()) {
            usedByLarge -= claim.memory;
        }
    }
}
