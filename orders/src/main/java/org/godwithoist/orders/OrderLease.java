package org.godwithoist.orders;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.bundle.FencingMode;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;

/**
 * The lease that permits one daemon to send orders to the engines of a pool. Pure state; the caller
 * does the reads and conditional writes. All times are measured on this daemon's own clock: a lease
 * held here counts from before its write was sent, and a lease of another daemon counts from when
 * its record was first seen, so that no clocks are compared.
 *
 * <p>An engine that checks fencing numbers refuses an order of a lapsed holder. For one that
 * ignores them a new holder waits for {@link #LONGEST_HOLDER_DELAY}; this rests on the assumption
 * that a holder is never paused longer than that between its check of the lease and its order.
 */
public final class OrderLease {
    /** Time for which a record permits orders. */
    public static final Duration DURATION = Duration.ofSeconds(6);

    /** Time after which the holder renews its record. */
    public static final Duration RENEW_AFTER = Duration.ofSeconds(2);

    /** Longest time between a holder's check of its lease and the arrival of its order. */
    public static final Duration LONGEST_HOLDER_DELAY = Duration.ofSeconds(30);

    /** Covers the drift of the clocks of two daemons over the duration of a lease. */
    private static final Duration MARGIN = Duration.ofMillis(500);

    private final HostId self;
    private final Ticker ticker;
    private Optional<Holding> seen = Optional.empty();
    private long seenSince;
    private long heldUntil;
    private long heldSince;
    private boolean held;

    /**
     * The row of the table.
     *
     * @param holder daemon that may send orders
     * @param epoch grows with each change of the holder; serves as the fencing number
     * @param renewal grows with each renewal, so that renewals can be told apart
     */
    public record Holding(HostId holder, long epoch, long renewal) {}

    /** What to do with the record now. */
    public enum Step {
        /** Nothing; another daemon holds the lease or it is too early. */
        WAIT(false),
        /** Write a renewal. */
        RENEW(true),
        /** Write a record with the next epoch. */
        TAKE(true);

        private final boolean writes;

        Step(boolean writes) {
            this.writes = writes;
        }

        /** Returns whether this step writes the record. */
        public boolean writes() {
            return writes;
        }
    }

    /** Makes the lease of a daemon that has seen no record yet. */
    public OrderLease(HostId self, Ticker ticker) {
        this.self = self;
        this.ticker = ticker;
        this.seenSince = ticker.nanos();
    }

    /** Takes the record as read from the store. */
    public void observe(Optional<Holding> record) {
        if (!record.equals(seen)) {
            seen = record;
            seenSince = ticker.nanos();
        }
        if (held && !record.map(r -> r.holder().equals(self)).orElse(false)) {
            held = false;
        }
    }

    /** Returns what to do now. */
    public Step next() {
        long now = ticker.nanos();
        if (mayOrder()) {
            return heldUntil - now <= DURATION.minus(RENEW_AFTER).toNanos()
                    ? Step.RENEW
                    : Step.WAIT;
        }
        if (seen.isEmpty()) {
            return Step.TAKE;
        }
        long lapsed = DURATION.plus(MARGIN).toNanos();
        return now - seenSince >= lapsed ? Step.TAKE : Step.WAIT;
    }

    /** Returns the record to write for a step that writes. */
    public Holding proposal() {
        if (mayOrder()) {
            Holding r = seen.orElseThrow();
            return new Holding(self, r.epoch(), r.renewal() + 1);
        }
        long epoch = seen.map(Holding::epoch).orElse(0L) + 1;
        return new Holding(self, epoch, 0);
    }

    /**
     * Takes the success of a write.
     *
     * @param sentAt time before the write was sent, on the ticker
     */
    public void written(Holding record, long sentAt) {
        boolean taken = !mayOrder() || seen.map(r -> r.epoch() != record.epoch()).orElse(true);
        seen = Optional.of(record);
        seenSince = ticker.nanos();
        held = true;
        heldUntil = sentAt + DURATION.toNanos();
        if (taken) {
            heldSince = ticker.nanos();
        }
    }

    /** Returns whether this daemon holds the lease now; must be asked right before each order. */
    public boolean mayOrder() {
        return held && heldUntil - ticker.nanos() > 0;
    }

    /** Returns whether the wait before the first order to engines of the given mode has passed. */
    public boolean mayOrder(FencingMode mode) {
        long wait = mode.waitBeforeFirstOrder(LONGEST_HOLDER_DELAY).toNanos();
        boolean firstHolder = seen.map(r -> r.epoch() == 1).orElse(false);
        return mayOrder() && (firstHolder || ticker.nanos() - heldSince >= wait);
    }

    /** Returns the fencing number for orders. */
    public long fencing() {
        return seen.map(Holding::epoch).orElse(0L);
    }
}
