package org.godwithoist.orders;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.bundle.FencingMode;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;

/**
 * The lease that permits one daemon to send orders to the engines of a pool. Performs no I/O; the
 * caller does the reads and conditional writes. Not thread-safe.
 *
 * <p>All times are measured on this daemon's own clock: a lease held here starts before its write
 * is sent, and a lease of another daemon starts when its record is first read, so that clocks of
 * different hosts are never compared.
 *
 * <p>An engine that checks fencing numbers rejects an order of a holder whose lease has expired.
 * For an engine that ignores them a new holder waits for {@link #MAX_HOLDER_DELAY}, on the
 * assumption that no holder is paused for longer between its check of the lease and its order.
 */
public final class OrderLease {
    /** Validity of a record, from before it is written. */
    public static final Duration DURATION = Duration.ofSeconds(6);

    /** Age of a record at which its holder renews it. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(2);

    /** Maximum time between a holder's check of its lease and the arrival of its order. */
    public static final Duration MAX_HOLDER_DELAY = Duration.ofSeconds(30);

    /** Allowance for the clock drift between two daemons over the duration of a lease. */
    private static final Duration CLOCK_DRIFT_MARGIN = Duration.ofMillis(500);

    private final HostId self;
    private final Ticker ticker;
    private Optional<LeaseRecord> lastRecord = Optional.empty();
    private long lastChangeNanos;
    private long expiryNanos;
    private long acquisitionNanos;
    private boolean held;

    /**
     * Lease record as stored in the table service.
     *
     * @param holder daemon that may send orders while the record is valid
     * @param epoch increases with each acquisition of the lease; used as the fencing number
     * @param renewal increases with each renewal, so that each write is distinguishable
     */
    public record LeaseRecord(HostId holder, long epoch, long renewal) {}

    /** Next action on the record. */
    public enum Step {
        /** None: another daemon holds the lease, or the own record is not due for renewal. */
        WAIT(false),
        /** Write a record with the same epoch and the next renewal. */
        RENEW(true),
        /** Acquire the lease: write a record with the next epoch. */
        ACQUIRE(true);

        private final boolean writes;

        Step(boolean writes) {
            this.writes = writes;
        }

        /** Returns whether this step writes a record. */
        public boolean writes() {
            return writes;
        }
    }

    /** Creates the view of a daemon that has not read a record yet. */
    public OrderLease(HostId self, Ticker ticker) {
        this.self = self;
        this.ticker = ticker;
        this.lastChangeNanos = ticker.nanos();
    }

    /** Updates the view with the record read from the store; empty if there is none. */
    public void observe(Optional<LeaseRecord> record) {
        if (!record.equals(lastRecord)) {
            lastRecord = record;
            lastChangeNanos = ticker.nanos();
        }
        if (held && !record.map(r -> r.holder().equals(self)).orElse(false)) {
            held = false;
        }
    }

    /** Returns the action that is due, from the last record read and the current time. */
    public Step nextStep() {
        long now = ticker.nanos();
        if (maySendOrders()) {
            return expiryNanos - now <= DURATION.minus(RENEWAL_INTERVAL).toNanos()
                    ? Step.RENEW
                    : Step.WAIT;
        }
        if (lastRecord.isEmpty()) {
            return Step.ACQUIRE;
        }
        long takeoverAge = DURATION.plus(CLOCK_DRIFT_MARGIN).toNanos();
        return now - lastChangeNanos >= takeoverAge ? Step.ACQUIRE : Step.WAIT;
    }

    /**
     * Returns the record for a step that writes; the write must be conditional on the version of
     * the row that was read.
     */
    public LeaseRecord nextRecord() {
        if (maySendOrders()) {
            LeaseRecord r = lastRecord.orElseThrow();
            return new LeaseRecord(self, r.epoch(), r.renewal() + 1);
        }
        long epoch = lastRecord.map(LeaseRecord::epoch).orElse(0L) + 1;
        return new LeaseRecord(self, epoch, 0);
    }

    /**
     * Records a successful write.
     *
     * @param sentAtNanos instant before the write was sent, in nanoseconds of the ticker
     */
    public void recordWrite(LeaseRecord record, long sentAtNanos) {
        boolean acquired =
                !maySendOrders() || lastRecord.map(r -> r.epoch() != record.epoch()).orElse(true);
        lastRecord = Optional.of(record);
        lastChangeNanos = ticker.nanos();
        held = true;
        expiryNanos = sentAtNanos + DURATION.toNanos();
        if (acquired) {
            acquisitionNanos = ticker.nanos();
        }
    }

    /** Returns whether this daemon holds the lease; must be checked right before each order. */
    public boolean maySendOrders() {
        return held && expiryNanos - ticker.nanos() > 0;
    }

    /**
     * Returns whether this daemon holds the lease and the delay before the first order to engines
     * of the given mode has passed. The first holder of a pool has no predecessor and does not
     * wait.
     */
    public boolean maySendOrders(FencingMode mode) {
        long wait = mode.waitBeforeFirstOrder(MAX_HOLDER_DELAY).toNanos();
        boolean firstHolder = lastRecord.map(r -> r.epoch() == 1).orElse(false);
        return maySendOrders() && (firstHolder || ticker.nanos() - acquisitionNanos >= wait);
    }

    /** Returns the fencing number for orders: the epoch of the last record, 0 without a record. */
    public long fencingNumber() {
        return lastRecord.map(LeaseRecord::epoch).orElse(0L);
    }
}
