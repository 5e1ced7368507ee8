package org.godwithoist.accounting;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.core.id.WorkspaceId;

/**
 * Unsettled attempts of this daemon and the log entries that its replica has not acknowledged.
 * Determines which attempts may be settled. Thread-safe.
 *
 * <p>A counted attempt is settled only after the replica of the current epoch has its count or the
 * epoch has been incremented. Otherwise a replica without the count would query the target and
 * settle the attempt a second time.
 */
final class Ledger {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition entryAdded = lock.newCondition();
    private final ChainId chain;
    private final Map<RequestId, Attempt> open = new LinkedHashMap<>();
    private final Map<RequestId, Attempt> lost = new LinkedHashMap<>();
    private final TreeMap<Long, CountedAttempt> counted = new TreeMap<>();
    private final Deque<LogEntry> unacknowledged = new ArrayDeque<>();
    private Optional<HostId> replica = Optional.empty();
    private long epoch;

    /** Last epoch whose replica has acknowledged the complete snapshot or that has no replica. */
    private long completeEpoch;

    /** Position of the last snapshot entry in the current epoch. */
    private long snapshotEnd;

    private long lastPosition;
    private long acknowledgedPosition;

    /** Highest ordinal that the replica has acknowledged in the current epoch. */
    private long acknowledgedOrdinal;

    private long lastOrdinal;

    /** Ordinal up to which counted attempts are settled in the store. */
    private long settledThrough;

    Ledger(ChainId chain) {
        this.chain = chain;
    }

    ChainId chain() {
        return chain;
    }

    // ---- changes of attempts

    void open(Attempt a) {
        withLock(
                () -> {
                    open.put(a.id(), a);
                    appendEntry(LogEntry.Kind.OPENED, a, 0, Usage.NONE);
                });
    }

    /** Records the usage of an attempt; has no effect if it is not open. */
    void close(RequestId id, Usage usage) {
        withLock(
                () -> {
                    Attempt a = open.remove(id);
                    lost.remove(id);
                    if (a != null) {
                        lastOrdinal++;
                        counted.put(lastOrdinal, new CountedAttempt(lastOrdinal, a, usage));
                        appendEntry(LogEntry.Kind.CLOSED, a, lastOrdinal, usage);
                    }
                });
    }

    void cancel(RequestId id) {
        withLock(
                () -> {
                    Attempt a = open.remove(id);
                    lost.remove(id);
                    if (a != null) {
                        appendEntry(LogEntry.Kind.CANCELLED, a, 0, Usage.NONE);
                    }
                });
    }

    /** Marks an open attempt as one whose usage must be queried from the target. */
    void markLost(RequestId id) {
        withLock(
                () -> {
                    Attempt a = open.get(id);
                    if (a != null) {
                        lost.put(id, a);
                    }
                });
    }

    // ---- registration at the replica

    /** Waits until there are entries to register or the timeout expires. */
    void awaitEntries(Duration timeout) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long left = timeout.toNanos();
            while ((unacknowledged.isEmpty() || replica.isEmpty()) && left > 0) {
                left = entryAdded.awaitNanos(left);
            }
        } finally {
            lock.unlock();
        }
    }

    Optional<HostId> replica() {
        lock.lock();
        try {
            return replica;
        } finally {
            lock.unlock();
        }
    }

    /** Starts a new epoch with the given replica; empty if no other daemon is reachable. */
    void assignReplica(Optional<HostId> host) {
        withLock(() -> startEpoch(host, epoch + 1));
    }

    /** Returns a registration with the oldest unacknowledged entries. */
    Registration nextRegistration(int maxEntries, boolean handOver, List<ChainId> owned) {
        lock.lock();
        try {
            List<LogEntry> entries = unacknowledged.stream().limit(maxEntries).toList();
            return new Registration(
                    chain,
                    epoch,
                    snapshotEnd,
                    completeEpoch,
                    entries,
                    settledThrough,
                    handOver,
                    owned);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Processes the response to a registration; ignores responses of earlier epochs.
     *
     * @return false if the replica has lost its copy or rejected the epoch, so that all entries
     *     must be registered again in a new epoch
     */
    boolean acknowledge(long ofEpoch, Registration.Receipt receipt) {
        lock.lock();
        try {
            if (ofEpoch != epoch) {
                return true;
            }
            if (!receipt.accepted() || receipt.applied() < acknowledgedPosition) {
                return false;
            }
            acknowledgedPosition = receipt.applied();
            while (!unacknowledged.isEmpty()
                    && unacknowledged.peek().position() <= acknowledgedPosition) {
                LogEntry e = unacknowledged.poll();
                acknowledgedOrdinal = Math.max(acknowledgedOrdinal, e.ordinal());
            }
            if (acknowledgedPosition >= snapshotEnd) {
                completeEpoch = epoch;
            }
            return true;
        } finally {
            lock.unlock();
        }
    }

    // ---- settlement

    /** Returns the successor of the given row, or empty if there is nothing to settle. */
    Optional<ChainRow> nextRow(ChainRow last) {
        lock.lock();
        try {
            long limit = settleLimit();
            Collection<CountedAttempt> added =
                    limit > last.through()
                            ? counted.subMap(last.through(), false, limit, true).values()
                            : List.of();
            if (added.isEmpty() && last.takenOver().isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(last.append(epoch, added, Math.max(limit, last.through())));
        } finally {
            lock.unlock();
        }
    }

    /** Removes the attempts that a stored row of this daemon includes. */
    void removeSettled(ChainRow row) {
        withLock(
                () -> {
                    settledThrough = Math.max(settledThrough, row.through());
                    counted.headMap(settledThrough, true).clear();
                });
    }

    /**
     * Reclaims the chain from a replica that considered this daemon failed. Removes the attempts
     * that the replica settled; all others stay with this daemon and are registered in a new epoch.
     */
    void reclaim(ChainRow row) {
        withLock(
                () -> {
                    Set<RequestId> settledByReplica = row.settledByOwner();
                    open.keySet().removeAll(settledByReplica);
                    lost.keySet().removeAll(settledByReplica);
                    counted.values().removeIf(c -> settledByReplica.contains(c.attempt().id()));
                    counted.headMap(row.through(), true).clear();
                    settledThrough = row.through();
                    startEpoch(replica, Math.max(epoch, row.epoch()) + 1);
                });
    }

    /** Returns the open attempts whose usage must be queried from the target. */
    List<Attempt> lostAttempts() {
        lock.lock();
        try {
            return List.copyOf(lost.values());
        } finally {
            lock.unlock();
        }
    }

    /** Returns the unsettled usage by workspace. */
    Map<WorkspaceId, UnsettledUsage> unsettled() {
        lock.lock();
        try {
            return sumByWorkspace(counted.values(), open.values());
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether all attempts are settled. */
    boolean isEmpty() {
        lock.lock();
        try {
            return open.isEmpty() && counted.isEmpty();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of counted attempts that are not settled. */
    int countedAttempts() {
        lock.lock();
        try {
            return counted.size();
        } finally {
            lock.unlock();
        }
    }

    static Map<WorkspaceId, UnsettledUsage> sumByWorkspace(
            Collection<CountedAttempt> counted, Collection<Attempt> open) {
        Map<WorkspaceId, UnsettledUsage> sums = new HashMap<>();
        for (CountedAttempt c : counted) {
            sums.merge(
                    c.attempt().workspace(),
                    new UnsettledUsage(c.usage(), 0),
                    UnsettledUsage::plus);
        }
        for (Attempt a : open) {
            sums.merge(a.workspace(), new UnsettledUsage(Usage.NONE, 1), UnsettledUsage::plus);
        }
        return sums;
    }

    // ---- internals; the lock is held

    private long settleLimit() {
        if (replica.isEmpty()) {
            return lastOrdinal;
        }
        return acknowledgedPosition >= snapshotEnd ? acknowledgedOrdinal : 0;
    }

    private void startEpoch(Optional<HostId> host, long newEpoch) {
        replica = host;
        epoch = newEpoch;
        unacknowledged.clear();
        lastPosition = 0;
        acknowledgedPosition = 0;
        acknowledgedOrdinal = 0;
        counted.values()
                .forEach(
                        c ->
                                appendEntry(
                                        LogEntry.Kind.CLOSED, c.attempt(), c.ordinal(), c.usage()));
        open.values().forEach(a -> appendEntry(LogEntry.Kind.OPENED, a, 0, Usage.NONE));
        snapshotEnd = lastPosition;
        if (host.isEmpty()) {
            completeEpoch = epoch;
        }
        entryAdded.signalAll();
    }

    private void appendEntry(LogEntry.Kind kind, Attempt a, long ordinal, Usage usage) {
        lastPosition++;
        if (replica.isEmpty()) {
            // A replica that is assigned later receives a snapshot.
            return;
        }
        unacknowledged.add(new LogEntry(lastPosition, kind, a, ordinal, usage));
        entryAdded.signalAll();
    }

    private void withLock(Runnable change) {
        lock.lock();
        try {
            change.run();
        } finally {
            lock.unlock();
        }
    }
}
