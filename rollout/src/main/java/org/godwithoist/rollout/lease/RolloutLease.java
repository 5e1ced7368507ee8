package org.godwithoist.rollout.lease;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.rollout.Progress;
import org.godwithoist.rollout.RolloutOrder;
import org.godwithoist.rollout.VersionHistory;

/**
 * The lease of one order as one daemon sees it. Performs no I/O; its task does the reads and
 * conditional writes. A daemon that does not know whether it holds the lease, because a write was
 * not answered or because it was suspended, does not lead until it has read the row again.
 * Thread-safe.
 */
final class RolloutLease {
    /** What the task does next. */
    enum Step {
        /** Nothing. */
        WAIT,
        /** Read the row. */
        READ,
        /** Write a record with a new term. */
        ACQUIRE,
        /** Write a record with the present term. */
        RENEW
    }

    /**
     * What a lease needs to know of its daemon.
     *
     * @param incarnation start time of this process
     * @param preferred whether this daemon reaches the others quickly
     */
    record Holder(
            HostId host,
            long incarnation,
            BooleanSupplier preferred,
            LeaseTiming timing,
            Ticker ticker,
            RandomGenerator random) {}

    private final RolloutOrder order;
    private final Holder self;
    private final StoreClock clock = new StoreClock();
    private final long firstSeenAt;

    /** Row as last read or written; empty if it must be read again. */
    private Optional<LeaseRow> row = Optional.empty();

    /** Last record that this daemon tried to write. */
    private Optional<LeaseRecord> own = Optional.empty();

    private long nextCallAt;
    private long heldUntil;
    private boolean held;
    private long renewedAt;
    private long renewal;

    /**
     * Creates a lease that is not held.
     *
     * @param firstSeenAt time at which this daemon saw the order, in nanoseconds of the ticker
     * @param immediate whether the row is read at once, because the order may be an old one
     */
    RolloutLease(RolloutOrder order, Holder self, long firstSeenAt, boolean immediate) {
        this.order = order;
        this.self = self;
        this.firstSeenAt = firstSeenAt;
        nextCallAt = now() + (immediate ? 0 : attemptDelay().toNanos());
    }

    private long now() {
        return self.ticker().nanos();
    }

    private Duration attemptDelay() {
        return self.timing().attemptDelay(self.preferred().getAsBoolean(), self.random());
    }

    /** Returns whether this daemon leads the order. */
    synchronized boolean isHeld() {
        return held && heldUntil - now() > 0;
    }

    /**
     * Returns the order's record in the row as last read; empty if the row is about another one.
     */
    synchronized Optional<LeaseRecord> record() {
        return row.flatMap(LeaseRow::record).filter(r -> r.order().equals(order.id()));
    }

    /** Returns whether the row was read and is not about this order. */
    synchronized boolean isAbsent() {
        return row.isPresent() && record().isEmpty();
    }

    /** Returns the time since the order, as far as it is known. */
    synchronized Duration age() {
        Duration seen = Duration.ofNanos(now() - firstSeenAt);
        return record().map(r -> Duration.ofMillis(clock.latestMs(now()) - r.startedAtMs()))
                .filter(a -> a.compareTo(seen) > 0)
                .orElse(seen);
    }

    /**
     * Returns what the task does next.
     *
     * @param decisionDue whether the holder has something to write that cannot wait
     */
    synchronized Step step(boolean decisionDue) {
        long now = now();
        if (held && !isHeld()) {
            // The daemon was suspended, or the store did not respond, for longer than the lease.
            release();
        }
        if (now - nextCallAt < 0) {
            return Step.WAIT;
        }
        if (held) {
            boolean due = now - renewedAt >= self.timing().renewalInterval().toNanos();
            return due || decisionDue ? Step.RENEW : Step.WAIT;
        }
        if (row.isEmpty()) {
            return Step.READ;
        }
        if (isOwn(row.get())) {
            return Step.RENEW;
        }
        long freeIn = timeUntilFree(row.get(), now);
        if (freeIn <= 0) {
            return Step.ACQUIRE;
        }
        nextCallAt = now + freeIn + attemptDelay().toNanos();
        return Step.WAIT;
    }

    private void release() {
        held = false;
        row = Optional.empty();
    }

    /** Returns whether a row contains a record of this process and its present term. */
    private boolean isOwn(LeaseRow found) {
        return found.record().isPresent()
                && own.isPresent()
                && found.record().get().sameHolder(own.get());
    }

    /** Returns the time in nanoseconds after which the lease may be acquired; 0 for at once. */
    private long timeUntilFree(LeaseRow found, long now) {
        if (found.record().isEmpty()) {
            return 0;
        }
        LeaseRecord record = found.record().get();
        int age = record.order().compareTo(order.id());
        if (age > 0) {
            // This daemon has not received the newer order yet.
            return self.timing().duration().toNanos();
        }
        // The holder of an older order has nothing left to decide.
        return age < 0
                ? 0
                : TimeUnit.MILLISECONDS.toNanos(record.expiresAtMs() - clock.earliestMs(now));
    }

    /**
     * Returns the record to write for a step.
     *
     * @param step {@link Step#ACQUIRE} or {@link Step#RENEW}
     * @param wanted progress that the record states; in a new term if the lease is acquired
     * @param withdrawn whether the order is withdrawn, so that its end says nothing of its version
     */
    synchronized LeaseRecord next(Step step, Progress wanted, boolean withdrawn) {
        long earliestMs = clock.earliestMs(now());
        long startedAtMs =
                record().map(LeaseRecord::startedAtMs).orElse(earliestMs - age().toMillis());
        renewal++;
        Progress stated = step == Step.ACQUIRE ? inNextTerm(wanted) : inOwnTerm(wanted);
        VersionHistory history = knownHistory();
        LeaseRecord next =
                new LeaseRecord(
                        order.id(),
                        self.host(),
                        self.incarnation(),
                        renewal,
                        startedAtMs,
                        earliestMs + self.timing().duration().toMillis(),
                        stated,
                        withdrawn ? history : history.with(order.to(), stated.state()));
        own = Optional.of(next);
        return next;
    }

    /** Returns the history in the row, or in what this daemon wrote if a restore has lost that. */
    private VersionHistory knownHistory() {
        // A restored row may be older than what this daemon wrote; its own record never is.
        return own.or(() -> row.flatMap(LeaseRow::record))
                .map(LeaseRecord::history)
                .orElse(VersionHistory.NONE);
    }

    /** Returns the progress in the term of the lease, which a renewal does not change. */
    private Progress inOwnTerm(Progress wanted) {
        long term = own.map(r -> r.progress().term()).orElse(wanted.term());
        return new Progress(term, wanted.step(), wanted.share(), wanted.state());
    }

    private Progress inNextTerm(Progress wanted) {
        Progress known = record().map(r -> wanted.mergedWith(r.progress())).orElse(wanted);
        long rowTerm = row.flatMap(LeaseRow::record).map(r -> r.progress().term()).orElse(0L);
        return known.inTerm(Math.max(known.term(), rowTerm) + 1);
    }

    /** Returns the version that the row must have for the next write to apply. */
    synchronized long expectedVersion() {
        return row.map(LeaseRow::version).orElse(0L);
    }

    /** Records the row as it was read by a request sent at a time. */
    synchronized void recordRead(LeaseRow found, long sentAt) {
        clock.record(found.nowMs(), sentAt, now());
        row = Optional.of(found);
    }

    /** Records the result of writing {@link #next}, by a request sent at a time. */
    synchronized void recordWrite(LeaseStore.Written written, long sentAt) {
        recordRead(written.row(), sentAt);
        if (!written.applied()) {
            // A row of this process has another version than the store had stated: it is renewed
            // again at once. Another daemon's row ends the lease.
            held &= isOwn(written.row());
            return;
        }
        long now = now();
        held = true;
        renewedAt = sentAt;
        long validMs = own.orElseThrow().expiresAtMs() - clock.latestMs(now);
        heldUntil = now + TimeUnit.MILLISECONDS.toNanos(validMs);
    }

    /** Records that the store has done nothing; what was known still holds. */
    synchronized void recordNotDone() {
        nextCallAt = now() + self.timing().retryDelay(self.random()).toNanos();
    }

    /** Records that the outcome of a call is unknown. */
    synchronized void recordUnknown() {
        release();
        recordNotDone();
    }

    /** Makes the row be read again, because the store was restored from an older copy. */
    synchronized void recordRestore() {
        release();
        nextCallAt = now() + attemptDelay().toNanos();
    }

    /**
     * Records a message of the leader: no call is due as long as it is heard. The row was written
     * since it was read.
     */
    synchronized void recordLeader(Progress heard) {
        if (held && own.isPresent() && heard.term() > own.get().progress().term()) {
            release();
        }
        if (!held) {
            row = Optional.empty();
            nextCallAt = now() + self.timing().duration().toNanos() + attemptDelay().toNanos();
        }
    }
}
