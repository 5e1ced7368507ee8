package org.godwithoist.admission;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.AwaitTimeoutException;
import org.godwithoist.core.task.Signal;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.StoreUnavailableException;

/**
 * Task of one shard: reads or maintains its lease, and keeps the slot ledger while this daemon is
 * the owner.
 */
final class ShardTask {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * Number of members that read the lease regularly. Members with a lower rank read it only if
     * they have demand and do not know the owner.
     */
    private static final int LEASE_READERS = 3;

    private static final int STEPS_PER_REPORT_INTERVAL = 2;

    private final ShardId shard;
    private final HostId self;
    private final AdmissionTiming timing;
    private final Ticker ticker;
    private final FleetView fleet;
    private final LeaseTable table;
    private final AdmissionPeers peers;
    private final Consumer<HostId> ownerListener;
    private final SlotCache cache;
    private final Signal wake = new Signal();

    private final ReentrantLock lock = new ReentrantLock();
    private final ShardLease lease;
    private Optional<SlotLedger> ledger = Optional.empty();
    private volatile Optional<HostId> owner = Optional.empty();
    private long ownerEpoch;
    private boolean stopping;

    /**
     * Held during an exchange with the local ledger, because the exchanges of one holder must not
     * overlap.
     */
    private final ReentrantLock localExchangeLock = new ReentrantLock();

    private volatile boolean closed;
    private volatile boolean ownerUnconfirmed;
    private volatile boolean reportImmediately;
    private long nextStoreAccessAt;

    ShardTask(
            ShardId shard,
            HostId self,
            long incarnation,
            AdmissionTiming timing,
            Ticker ticker,
            FleetView fleet,
            LeaseTable table,
            AdmissionPeers peers,
            Consumer<HostId> ownerListener) {
        this.shard = shard;
        this.self = self;
        this.timing = timing;
        this.ticker = ticker;
        this.fleet = fleet;
        this.table = table;
        this.peers = peers;
        this.ownerListener = ownerListener;
        this.cache = new SlotCache(shard, incarnation, timing, ticker, fleet);
        this.lease = new ShardLease(self, incarnation, timing, ticker);
        this.nextStoreAccessAt = ticker.nanos();
    }

    SlotCache cache() {
        return cache;
    }

    // ---- task loop

    void run() {
        while (!closed) {
            try {
                step();
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log(
                        "shard %s: lease maintenance or slot report failed; retrying", shard);
            }
            park();
        }
    }

    private void park() {
        if (!wake.await(timing.reportInterval().dividedBy(STEPS_PER_REPORT_INTERVAL))) {
            closed = true;
        }
    }

    private void step() {
        fleet.refresh();
        maintainLease();
        Set<HostId> holders = tick();
        holders.forEach(this::requestReport);
        if (hasLedger() && cache.reportDue()) {
            exchangeLocally();
        }
    }

    private Set<HostId> tick() {
        lock.lock();
        try {
            if (ledger.isEmpty()) {
                return Set.of();
            }
            SlotLedger currentLedger = ledger.get();
            currentLedger.update(fleet.shardView());
            currentLedger.tick(lease.owns());
            if (!currentLedger.ready()) {
                return currentLedger.unreportedMembers();
            }
            Set<HostId> holders = new HashSet<>(currentLedger.drainReportRequests());
            holders.addAll(fleet.unreportedMembers(currentLedger));
            return holders;
        } finally {
            lock.unlock();
        }
    }

    private void requestReport(HostId holder) {
        if (holder.equals(self)) {
            exchangeLocally();
            return;
        }
        peers.requestReport(holder, shard, cache.epoch(), timing.exchangeTimeout());
    }

    void close() {
        closed = true;
        wake.raise();
    }

    // ---- lease

    private void maintainLease() {
        if (ticker.nanos() - nextStoreAccessAt < 0 || !needsStoreAccess()) {
            return;
        }
        ownerUnconfirmed = false;
        nextStoreAccessAt = ticker.nanos() + timing.renewalInterval().toNanos();
        boolean storeResponded = accessStore();
        if (!storeResponded) {
            requestPromises();
        }
        updateOwner();
        owner.filter(h -> !h.equals(self)).ifPresent(ownerListener);
    }

    private boolean needsStoreAccess() {
        boolean ownerKnown = owner.isPresent() && !ownerUnconfirmed;
        int rank = fleet.rank();
        boolean isLeaseReader = rank >= 0 && rank < LEASE_READERS;
        boolean ownerNeeded = !ownerKnown && cache.hasDemand();
        lock.lock();
        try {
            boolean involved =
                    lease.isLastKnownOwner() || lease.isCandidate() || lease.epoch() == 0;
            return involved || isLeaseReader || ownerNeeded;
        } finally {
            lock.unlock();
        }
    }

    /** Reads and writes the lease; returns false if the store did not respond. */
    private boolean accessStore() {
        if (mustRead() && !read()) {
            return false;
        }
        Optional<LeaseWrite> write = nextWrite();
        return write.isEmpty() || write(write.get());
    }

    private boolean mustRead() {
        lock.lock();
        try {
            return !lease.isLastKnownOwner() || lease.mustRead();
        } finally {
            lock.unlock();
        }
    }

    private boolean read() {
        Optional<LeaseRecord.Versioned> row;
        try {
            row = Await.result(table.read(shard), timing.exchangeTimeout());
        } catch (StoreUnavailableException | OutcomeUnknownException | AwaitTimeoutException e) {
            return false;
        }
        lock.lock();
        try {
            boolean wasOwner = lease.isLastKnownOwner();
            lease.onRead(row);
            if (wasOwner && !lease.isLastKnownOwner()) {
                LOG.atWarning().log(
                        "shard %s: another daemon took the shard over; granting no more slots",
                        shard);
                ledger = Optional.empty();
            }
            openLedger();
        } finally {
            lock.unlock();
        }
        return true;
    }

    private Optional<LeaseWrite> nextWrite() {
        List<HostId> candidates = fleet.candidates();
        int rank = fleet.rank();
        lock.lock();
        try {
            if (lease.releasing()) {
                return ledger.flatMap(l -> lease.release(l.lastGrantAt()));
            }
            Optional<LeaseWrite> renewal = lease.renewal(candidates);
            if (renewal.isPresent() || stopping) {
                return renewal;
            }
            return lease.takeover(rank, candidates);
        } finally {
            lock.unlock();
        }
    }

    private boolean write(LeaseWrite write) {
        CompletableFuture<Long> result = table.write(shard, write);
        try {
            long version = Await.result(result, timing.exchangeTimeout());
            updateLease(() -> lease.onWritten(write, version));
        } catch (ConditionFailedException e) {
            updateLease(() -> lease.onConflict(write));
        } catch (StoreUnavailableException e) {
            updateLease(() -> lease.onUnavailable(write));
            return false;
        } catch (OutcomeUnknownException | AwaitTimeoutException e) {
            updateLease(() -> lease.onOutcomeUnknown(write));
            // If the store still responds to reads, the record shows immediately whether the write
            // took effect.
            return read();
        }
        return true;
    }

    private void updateLease(Runnable change) {
        lock.lock();
        try {
            change.run();
            openLedger();
        } finally {
            lock.unlock();
        }
    }

    private void openLedger() {
        if (!lease.isLastKnownOwner()) {
            ledger = Optional.empty();
            return;
        }
        if (ledger.isEmpty() || ledger.get().epoch() != lease.epoch()) {
            LOG.atInfo().log("shard %s: became owner in epoch %d", shard, lease.epoch());
            ledger =
                    Optional.of(
                            new SlotLedger(
                                    shard, lease.epoch(), timing, ticker, fleet.shardView()));
        }
    }

    private void requestPromises() {
        Optional<ShardLease.PromiseRequest> request;
        lock.lock();
        try {
            request = lease.promiseRequest();
        } finally {
            lock.unlock();
        }
        if (request.isEmpty()) {
            return;
        }
        List<CompletableFuture<Boolean>> promises = new ArrayList<>();
        for (HostId candidate : request.get().candidates()) {
            promises.add(
                    peers.promise(
                            candidate, shard, request.get().epoch(), timing.exchangeTimeout()));
        }
        for (CompletableFuture<Boolean> promise : promises) {
            try {
                if (!Await.result(promise, timing.exchangeTimeout())) {
                    return;
                }
            } catch (RuntimeException e) {
                LOG.atFine().withCause(e).log(
                        "shard %s: promise request to a candidate failed; lease not extended",
                        shard);
                return;
            }
        }
        updateLease(() -> lease.onAllPromised(request.get()));
    }

    private void updateOwner() {
        lock.lock();
        try {
            if (lease.isLastKnownOwner()) {
                setOwner(self, lease.epoch());
            } else if (lease.knownOwner().isPresent()) {
                setOwner(lease.knownOwner().get(), lease.epoch());
            } else if (lease.epoch() >= ownerEpoch) {
                owner = Optional.empty();
            }
        } finally {
            lock.unlock();
        }
    }

    private void setOwner(HostId host, long epoch) {
        if (epoch >= ownerEpoch) {
            ownerEpoch = epoch;
            owner = Optional.of(host);
            cache.setEpoch(epoch);
        }
    }

    boolean promise(HostId from, long epoch) {
        lock.lock();
        try {
            return lease.promise(from, epoch);
        } finally {
            lock.unlock();
        }
    }

    /** Releases the shard once its last grant has expired, and prevents further takeovers. */
    void startRelease() {
        lock.lock();
        try {
            stopping = true;
            lease.startRelease();
        } finally {
            lock.unlock();
        }
        wake.raise();
    }

    boolean holdsLease() {
        lock.lock();
        try {
            return lease.isLastKnownOwner();
        } finally {
            lock.unlock();
        }
    }

    // ---- owner

    boolean hasLedger() {
        lock.lock();
        try {
            return ledger.isPresent();
        } finally {
            lock.unlock();
        }
    }

    SlotReportResponse exchange(HostId from, SlotReport report) {
        SlotReportResponse response;
        Set<HostId> requestedReports;
        lock.lock();
        try {
            if (ledger.isEmpty()) {
                return SlotReportResponse.rejection(
                        shard, SlotReportResponse.Status.NOT_OWNER, lease.epoch());
            }
            response = ledger.get().exchange(from, report, lease.owns());
            requestedReports = ledger.get().drainReportRequests();
        } finally {
            lock.unlock();
        }
        for (HostId h : requestedReports) {
            if (!h.equals(self)) {
                peers.requestReport(h, shard, response.epoch(), timing.exchangeTimeout());
            } else if (!from.equals(self)) {
                exchangeLocally();
            }
        }
        return response;
    }

    /** Exchanges a report with the local ledger, without a message. */
    void exchangeLocally() {
        localExchangeLock.lock();
        try {
            SlotReport report = cache.report();
            cache.onResponse(report, exchange(self, report));
        } finally {
            localExchangeLock.unlock();
        }
    }

    // ---- holder

    /**
     * Records new demand. Returns the peer to which it must be reported; empty if the local ledger
     * has processed it or no owner is known.
     */
    Optional<HostId> onDemand() {
        if (hasLedger()) {
            exchangeLocally();
            return Optional.empty();
        }
        reportImmediately = true;
        Optional<HostId> peer = owner();
        if (peer.isEmpty()) {
            wake.raise();
        }
        return peer;
    }

    Optional<HostId> owner() {
        return owner;
    }

    boolean reportDue(Duration minReturnInterval) {
        return reportImmediately
                || cache.reportDue()
                || cache.contendedReturnDue(minReturnInterval);
    }

    SlotReport report() {
        reportImmediately = false;
        return cache.report();
    }

    void onResponse(SlotReport report, SlotReportResponse response) {
        if (response.status() == SlotReportResponse.Status.UNKNOWN_BASELINE) {
            // Report the waiting requests without the delay of the regular interval.
            reportImmediately = true;
            return;
        }
        if (!response.status().accepted()) {
            ownerUnconfirmed = true;
            boolean newer = response.epoch() > cache.epoch();
            if (newer && response.status() == SlotReportResponse.Status.STALE) {
                cache.setEpoch(response.epoch());
                return;
            }
            wake.raise();
            return;
        }
        cache.onResponse(report, response);
    }

    /**
     * Handles an owner's request for an immediate report; returns whether the sender is accepted as
     * the owner.
     */
    boolean onReportRequest(HostId from, long epoch) {
        lock.lock();
        try {
            boolean accepted = epoch == ownerEpoch && owner.filter(from::equals).isPresent();
            if (epoch > ownerEpoch) {
                setOwner(from, epoch);
                accepted = true;
            }
            reportImmediately |= accepted;
            return accepted;
        } finally {
            lock.unlock();
        }
    }
}
