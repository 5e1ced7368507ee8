package org.godwithoist.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import org.godwithoist.core.Priority;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;

/**
 * Slots of this daemon for one shard: granted slots, slots in use, reserved slots and waiting
 * requests. Thread-safe; no call blocks.
 */
public final class SlotCache {
    private static final long NEVER = Long.MIN_VALUE;

    /** Maximum number of response times in a report; more would not improve a median. */
    private static final int MAX_LATENCY_SAMPLES = 64;

    /** Request that waits for a slot. */
    public static final class Waiter {
        private final SlotRequest request;
        private final long enqueuedAt;
        private final CompletableFuture<Slot> slot = new CompletableFuture<>();

        private Waiter(SlotRequest request, long enqueuedAt) {
            this.request = request;
            this.enqueuedAt = enqueuedAt;
        }

        /** Returns the future that completes with the slot. */
        public CompletableFuture<Slot> slot() {
            return slot;
        }
    }

    /** Granted slots of one response. */
    private static final class GrantBatch {
        final long expiry;
        int remaining;

        GrantBatch(long expiry, int remaining) {
            this.expiry = expiry;
            this.remaining = remaining;
        }
    }

    /**
     * Minimum number of slots in use since three instants: the send times of the last two reports
     * that the owner accepted, and of the report in progress.
     */
    private static final class MinInUse {
        private int current;
        private int sinceCurrentReport;
        private int sinceLastAccepted;
        private int sincePreviousAccepted;

        void change(int by) {
            current += by;
            sinceCurrentReport = Math.min(sinceCurrentReport, current);
            sinceLastAccepted = Math.min(sinceLastAccepted, current);
            sincePreviousAccepted = Math.min(sincePreviousAccepted, current);
        }

        void reportSent() {
            sinceCurrentReport = current;
        }

        void reportAccepted() {
            sincePreviousAccepted = sinceLastAccepted;
            sinceLastAccepted = sinceCurrentReport;
        }

        void invalidate() {
            sinceCurrentReport = 0;
            sinceLastAccepted = 0;
            sincePreviousAccepted = 0;
        }
    }

    private static final class TargetSlots {
        final Deque<GrantBatch> free = new ArrayDeque<>();
        final List<HeldSlot> held = new ArrayList<>();
        final Deque<Waiter> waiters = new ArrayDeque<>();
        final MinInUse minimum = new MinInUse();
        int grantedInUse;
        int reservedHandedOut;
        boolean countedInTotal = true;
        long reservedOpenUntil = NEVER;
        Optional<SlotReportResponse.TargetStatus> status = Optional.empty();

        int used() {
            return minimum.current;
        }
    }

    private final ShardId shard;
    private final long incarnation;
    private final AdmissionTiming timing;
    private final Ticker ticker;
    private final SlotPolicy policy;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<TargetId, TargetSlots> targets = new HashMap<>();
    private final MinInUse total = new MinInUse();
    private final List<SlotReport.LatencySample> latencySamples = new ArrayList<>();

    private long epoch;
    private long sequence;
    private long reportedEpoch;
    private long acceptedEpoch;
    private long reportSentAt;
    private long lastCheckAt;
    private long lastResponseAt = NEVER;
    private long firstUnacknowledgedAt = NEVER;
    private long reservedOpenedAt = NEVER;
    private boolean reportedIdle;
    private boolean ownerKnowsIdle;
    private long leaseExpiredSince = NEVER;
    private long lastOwnerTimestamp;
    private long previousOwnerTimestamp;
    private boolean changedSinceReport;

    /**
     * Creates an empty cache.
     *
     * @param incarnation run of this daemon
     */
    public SlotCache(
            ShardId shard,
            long incarnation,
            AdmissionTiming timing,
            Ticker ticker,
            SlotPolicy policy) {
        this.shard = shard;
        this.incarnation = incarnation;
        this.timing = timing;
        this.ticker = ticker;
        this.policy = policy;
        this.reportSentAt = ticker.nanos();
        this.lastCheckAt = reportSentAt;
    }

    // ---- requests

    /** Returns a slot that is available without a message; empty if there is none. */
    public Optional<Slot> tryAcquire(TargetId target) {
        lock.lock();
        try {
            TargetSlots t = targets.get(target);
            if (t == null) {
                t = new TargetSlots();
                targets.put(target, t);
            }
            // Waiting requests go first.
            return t.waiters.isEmpty() ? take(target, t) : Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Queues a request until a slot is available. The caller must withdraw it when it no longer
     * waits.
     */
    public Waiter enqueue(SlotRequest request) {
        lock.lock();
        try {
            Waiter w = new Waiter(request, ticker.nanos());
            slots(request.target()).waiters.add(w);
            changedSinceReport = true;
            return w;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Withdraws a request.
     *
     * @return the slot if it arrived before; the caller must use or release it
     */
    public Optional<Slot> withdraw(Waiter waiter) {
        lock.lock();
        try {
            slots(waiter.request.target()).waiters.remove(waiter);
            return Optional.ofNullable(waiter.slot.getNow(null));
        } finally {
            lock.unlock();
        }
    }

    private TargetSlots slots(TargetId target) {
        return targets.computeIfAbsent(target, t -> new TargetSlots());
    }

    private Optional<Slot> take(TargetId target, TargetSlots t) {
        long now = ticker.nanos();
        GrantBatch batch = t.free.peekFirst();
        while (batch != null && (batch.remaining == 0 || now - batch.expiry >= 0)) {
            t.free.removeFirst();
            batch = t.free.peekFirst();
        }
        if (batch != null) {
            batch.remaining--;
            return Optional.of(handOut(target, t, SlotSource.GRANTED, batch.expiry));
        }
        Optional<SlotSource> source = reservedSource(target, t, now);
        if (source.isEmpty() || !policy.acceptsWork(target)) {
            return Optional.empty();
        }
        t.reservedHandedOut++;
        boolean opened = source.get() == SlotSource.RESERVED_OPENED;
        long expiry = opened ? t.reservedOpenUntil : now + timing.grantTtl().toNanos();
        return Optional.of(handOut(target, t, source.get(), expiry));
    }

    private Slot handOut(TargetId target, TargetSlots t, SlotSource source, long expiry) {
        String targetIncarnation = t.status.map(status -> status.targetIncarnation()).orElse("");
        HeldSlot slot = new HeldSlot(this, target, source, expiry, targetIncarnation);
        t.held.add(slot);
        changedSinceReport = true;
        return slot;
    }

    /** Returns the source of a free reserved slot that may be used now; empty if there is none. */
    private Optional<SlotSource> reservedSource(TargetId target, TargetSlots t, long now) {
        if (t.reservedHandedOut >= policy.reservedHeld(target)) {
            return Optional.empty();
        }
        if (t.reservedOpenUntil != NEVER && now - t.reservedOpenUntil < 0) {
            return Optional.of(SlotSource.RESERVED_OPENED);
        }
        long since = ownerlessSince();
        boolean fits =
                since != NEVER
                        && now - since > timing.ownerGrantTtl().toNanos()
                        && policy.inContactWithAll()
                        && policy.reservedFitWithoutOwner(
                                target, since + timing.ownerGrantTtl().toNanos());
        return fits ? Optional.of(SlotSource.RESERVED_WITHOUT_OWNER) : Optional.empty();
    }

    /**
     * Returns the instant since which no owner can have granted slots to any daemon, or {@code
     * NEVER}.
     */
    private long ownerlessSince() {
        if (leaseExpiredSince != NEVER) {
            return leaseExpiredSince;
        }
        // An owner that did not respond for the unresponsive timeout has lost its lease, or it is
        // cut off and the contact requirement applies to all other members. The time counts from
        // the first report without a response, because an idle holder sends none.
        boolean ownerLost = lastResponseAt != NEVER && firstUnacknowledgedAt != NEVER;
        long ownerlessAt =
                ownerLost ? firstUnacknowledgedAt + timing.unresponsiveTimeout().toNanos() : NEVER;
        return ownerlessAt != NEVER && ticker.nanos() - ownerlessAt > 0 ? ownerlessAt : NEVER;
    }

    boolean use(HeldSlot slot) {
        lock.lock();
        try {
            TargetSlots t = slots(slot.target());
            if (slot.stage() != HeldSlot.Stage.HELD) {
                return slot.stage() == HeldSlot.Stage.USED;
            }
            boolean expired = ticker.nanos() - slot.expiry() >= 0;
            if (expired || !slot.source().mayUse(policy) || !policy.acceptsWork(slot.target())) {
                return false;
            }
            slot.setStage(HeldSlot.Stage.USED);
            t.held.remove(slot);
            if (!slot.reserved()) {
                t.grantedInUse++;
            }
            changeUse(t, 1);
            changedSinceReport = true;
            return true;
        } finally {
            lock.unlock();
        }
    }

    void release(HeldSlot slot, Slot.Outcome outcome, Duration timeToFirstToken) {
        lock.lock();
        try {
            if (slot.stage() == HeldSlot.Stage.RELEASED) {
                return;
            }
            TargetSlots t = slots(slot.target());
            boolean used = slot.stage() == HeldSlot.Stage.USED;
            slot.setStage(HeldSlot.Stage.RELEASED);
            t.held.remove(slot);
            if (used) {
                changeUse(t, -1);
            }
            if (slot.reserved()) {
                t.reservedHandedOut--;
            } else if (used) {
                t.grantedInUse--;
            } else if (ticker.nanos() - slot.expiry() < 0) {
                t.free.addFirst(new GrantBatch(slot.expiry(), 1));
            }
            boolean measured = used && outcome.measuresLatency() && !timeToFirstToken.isZero();
            if (measured && latencySamples.size() < MAX_LATENCY_SAMPLES) {
                latencySamples.add(
                        new SlotReport.LatencySample(
                                slot.target(), timeToFirstToken, slot.targetIncarnation()));
            }
            changedSinceReport = true;
            serveWaiters(slot.target(), t);
        } finally {
            lock.unlock();
        }
    }

    private void changeUse(TargetSlots t, int by) {
        t.minimum.change(by);
        if (t.countedInTotal) {
            total.change(by);
        }
    }

    private void serveWaiters(TargetId target, TargetSlots t) {
        while (!t.waiters.isEmpty()) {
            Optional<Slot> slot = take(target, t);
            if (slot.isEmpty()) {
                return;
            }
            removeNextWaiter(t).slot.complete(slot.get());
        }
    }

    /** Removes and returns the waiter with the highest priority; the oldest of several. */
    private Waiter removeNextWaiter(TargetSlots t) {
        Waiter best = t.waiters.peekFirst();
        for (Waiter w : t.waiters) {
            if (priority(w).precedes(priority(best))) {
                best = w;
            }
        }
        t.waiters.remove(best);
        return best;
    }

    private Priority priority(Waiter w) {
        Duration waited = Duration.ofNanos(ticker.nanos() - w.enqueuedAt);
        return w.request.priority().aged(waited, timing.backgroundAgingDelay());
    }

    // ---- exchange with the owner

    /** Sets the epoch of the shard's owner; responses of earlier epochs are ignored from now on. */
    public void setEpoch(long ownerEpoch) {
        lock.lock();
        try {
            if (ownerEpoch > epoch) {
                epoch = ownerEpoch;
                lastOwnerTimestamp = 0;
                previousOwnerTimestamp = 0;
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns the epoch for which the next report is meant; 0 if no owner is known. */
    public long epoch() {
        lock.lock();
        try {
            return epoch;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns whether a report is due. Must be called several times per report interval: a longer
     * gap means that the process was paused.
     */
    public boolean reportDue() {
        lock.lock();
        try {
            long now = ticker.nanos();
            checkForPause(now);
            if (reportedEpoch != epoch) {
                return true;
            }
            Optional<Duration> interval = currentInterval(now);
            return interval.isPresent() && now - reportSentAt >= interval.get().toNanos();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the interval between reports; empty if the owner needs no further report. */
    private Optional<Duration> currentInterval(long now) {
        boolean idle = !changedSinceReport && ownerKnowsIdle && !hasWork();
        if (changedSinceReport || (!idle && firstUnacknowledgedAt != NEVER)) {
            return Optional.of(timing.reportInterval());
        }
        if (!idle || firstUnacknowledgedAt != NEVER) {
            return Optional.of(timing.idleReportInterval());
        }
        if (targets.keySet().stream().anyMatch(t -> policy.reservedHeld(t) > 0)) {
            // Reports keep the reserved slots open and show whether the owner still responds.
            // Without an owner, reserved slots may be used if all members are in contact.
            return Optional.of(timing.idleReportInterval());
        }
        // The owner counts opened reserved slots until a report sent after their TTL, which takes
        // two TTLs.
        boolean stillCounted =
                reservedOpenedAt != NEVER
                        && now - reservedOpenedAt < timing.ownerGrantTtl().toNanos() * 2;
        return stillCounted ? Optional.of(timing.idleReportInterval()) : Optional.empty();
    }

    private boolean hasWork() {
        return targets.values().stream()
                .anyMatch(
                        t ->
                                t.used() > 0
                                        || t.reservedHandedOut > 0
                                        || !t.waiters.isEmpty()
                                        || !t.held.isEmpty()
                                        || !t.free.isEmpty());
    }

    private void checkForPause(long now) {
        if (now - lastCheckAt > maxCheckIntervalNanos()) {
            onPauseDetected();
        }
        lastCheckAt = now;
    }

    /** Returns whether requests of this daemon wait for a slot at any target of the shard. */
    public boolean hasDemand() {
        lock.lock();
        try {
            return targets.values().stream().anyMatch(t -> !t.waiters.isEmpty());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns whether use changed while a target of the shard is contended, so that the owner
     * should be notified before the next regular report.
     *
     * @param minInterval minimum interval since the last report
     */
    public boolean contendedReturnDue(Duration minInterval) {
        lock.lock();
        try {
            return changedSinceReport
                    && ticker.nanos() - reportSentAt >= minInterval.toNanos()
                    && targets.values().stream()
                            .anyMatch(
                                    t -> t.status.map(status -> status.contended()).orElse(false));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Starts an exchange and returns its report; responses to earlier reports are ignored from now
     * on.
     */
    public SlotReport report() {
        lock.lock();
        try {
            long now = ticker.nanos();
            checkForPause(now);
            sequence++;
            reportSentAt = now;
            firstUnacknowledgedAt = firstUnacknowledgedAt == NEVER ? now : firstUnacknowledgedAt;
            changedSinceReport = false;
            List<SlotReport.TargetUse> uses = new ArrayList<>();
            List<SlotReport.Demand> demands = new ArrayList<>();
            boolean firstToOwner = acceptedEpoch != epoch;
            reportedEpoch = epoch;
            Iterator<Map.Entry<TargetId, TargetSlots>> it = targets.entrySet().iterator();
            while (it.hasNext()) {
                Map.Entry<TargetId, TargetSlots> e = it.next();
                if (!addTarget(e.getKey(), e.getValue(), now, firstToOwner, uses, demands)) {
                    it.remove();
                }
            }
            var report =
                    new SlotReport(
                            shard,
                            epoch,
                            incarnation,
                            sequence,
                            previousOwnerTimestamp,
                            lastOwnerTimestamp,
                            total.sincePreviousAccepted,
                            uses,
                            demands,
                            latencySamples);
            latencySamples.clear();
            reportedIdle = !hasWork();
            total.reportSent();
            targets.values().forEach(t -> t.minimum.reportSent());
            return report;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the maximum interval between checks of the clock while the process runs, in
     * nanoseconds. A longer gap means that it was paused: requests may have ended meanwhile
     * unnoticed, so the use before the gap is not certain.
     */
    private long maxCheckIntervalNanos() {
        return timing.reportInterval().multipliedBy(2).plus(timing.exchangeTimeout()).toNanos();
    }

    private void onPauseDetected() {
        total.invalidate();
        targets.values().forEach(t -> t.minimum.invalidate());
    }

    private boolean addTarget(
            TargetId target,
            TargetSlots t,
            long now,
            boolean firstToOwner,
            List<SlotReport.TargetUse> uses,
            List<SlotReport.Demand> demands) {
        boolean acceptsWork = policy.acceptsWork(target);
        if (acceptsWork != t.countedInTotal) {
            t.countedInTotal = acceptsWork;
            total.change(acceptsWork ? t.used() : -t.used());
        }
        boolean contended = t.status.map(status -> status.contended()).orElse(false);
        if (contended && t.waiters.isEmpty()) {
            t.free.clear();
        }
        t.free.removeIf(b -> now - b.expiry >= 0);
        int unused = 0;
        for (GrantBatch b : t.free) {
            unused += b.remaining;
        }
        for (HeldSlot s : t.held) {
            unused += !s.reserved() && now - s.expiry() < 0 ? 1 : 0;
        }
        int reservedHeld = policy.reservedHeld(target);
        int warmUpLimit = firstToOwner ? t.status.map(status -> status.warmUpLimit()).orElse(0) : 0;
        String targetIncarnation =
                warmUpLimit == 0 ? "" : t.status.orElseThrow().targetIncarnation();
        boolean idle =
                t.used() == 0 && unused == 0 && t.reservedHandedOut == 0 && reservedHeld == 0;
        if (!idle || warmUpLimit > 0) {
            uses.add(
                    new SlotReport.TargetUse(
                            target,
                            t.grantedInUse,
                            unused,
                            t.reservedHandedOut,
                            t.minimum.sincePreviousAccepted,
                            reservedHeld,
                            warmUpLimit,
                            targetIncarnation));
        }
        addDemands(target, t, now, demands);
        return !idle || !t.waiters.isEmpty() || acceptsWork;
    }

    private record DemandKey(WorkspaceId workspace, Priority priority, boolean aged) {}

    private void addDemands(
            TargetId target, TargetSlots t, long now, List<SlotReport.Demand> demands) {
        if (t.waiters.isEmpty()) {
            return;
        }
        Map<DemandKey, SlotReport.Demand> merged = new LinkedHashMap<>();
        for (Waiter w : t.waiters) {
            Priority p = w.request.priority();
            var key = new DemandKey(w.request.workspace(), p, priority(w) != p);
            Duration waited = Duration.ofNanos(now - w.enqueuedAt);
            merged.merge(
                    key,
                    new SlotReport.Demand(target, w.request.workspace(), p, 1, waited),
                    SlotCache::sum);
        }
        demands.addAll(merged.values());
    }

    private static SlotReport.Demand sum(SlotReport.Demand a, SlotReport.Demand b) {
        Duration waited = Durations.max(a.oldestWait(), b.oldestWait());
        return new SlotReport.Demand(
                a.target(), a.workspace(), a.priority(), a.count() + b.count(), waited);
    }

    /**
     * Processes the owner's response to a report. A response to an earlier report, of an earlier
     * epoch or after the TTL grants nothing.
     */
    public void onResponse(SlotReport report, SlotReportResponse response) {
        lock.lock();
        try {
            boolean current = report.incarnation() == incarnation && report.sequence() == sequence;
            if (!current || response.epoch() != epoch) {
                return;
            }
            if (!response.status().accepted()) {
                return;
            }
            long now = ticker.nanos();
            acceptedEpoch = epoch;
            lastResponseAt = now;
            firstUnacknowledgedAt = NEVER;
            ownerKnowsIdle = reportedIdle;
            boolean leaseExpired = response.status() == SlotReportResponse.Status.LEASE_EXPIRED;
            leaseExpiredSince =
                    !leaseExpired ? NEVER : leaseExpiredSince == NEVER ? now : leaseExpiredSince;
            previousOwnerTimestamp = lastOwnerTimestamp;
            lastOwnerTimestamp = response.ownerTimestamp();
            total.reportAccepted();
            targets.values().forEach(t -> t.minimum.reportAccepted());
            long expiry = reportSentAt + timing.grantTtl().toNanos();
            boolean expired = now - expiry >= 0;
            for (SlotReportResponse.TargetStatus status : response.targetStatuses()) {
                TargetSlots t = slots(status.target());
                t.status = Optional.of(status);
                t.reservedOpenUntil = status.reservedOpen() && !expired ? expiry : NEVER;
                reservedOpenedAt = status.reservedOpen() ? now : reservedOpenedAt;
            }
            if (!expired) {
                response.grants().forEach(g -> applyGrant(g, expiry));
            }
            targets.forEach(this::serveWaiters);
        } finally {
            lock.unlock();
        }
    }

    private void applyGrant(SlotReportResponse.Grant g, long expiry) {
        TargetSlots t = slots(g.target());
        int remaining = g.count();
        Iterator<Waiter> it = t.waiters.iterator();
        while (remaining > 0 && it.hasNext()) {
            Waiter w = it.next();
            boolean matches =
                    w.request.workspace().equals(g.workspace())
                            && w.request.priority() == g.priority();
            if (matches) {
                it.remove();
                remaining--;
                w.slot.complete(handOut(g.target(), t, SlotSource.GRANTED, expiry));
            }
        }
        if (remaining > 0) {
            t.free.addLast(new GrantBatch(expiry, remaining));
            changedSinceReport = true;
        }
    }

    /** Returns the expected wait for a slot; zero if one is free here or at the owner. */
    public Duration expectedWait(TargetId target) {
        lock.lock();
        try {
            TargetSlots t = targets.get(target);
            if (t == null) {
                return Duration.ZERO;
            }
            long now = ticker.nanos();
            boolean free = t.free.stream().anyMatch(b -> b.remaining > 0 && now - b.expiry < 0);
            if (free || reservedSource(target, t, now).isPresent()) {
                return Duration.ZERO;
            }
            return t.status.map(status -> status.expectedWait()).orElse(Duration.ZERO);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of slots of a target in use here, reserved ones included. */
    public int inUse(TargetId target) {
        lock.lock();
        try {
            TargetSlots t = targets.get(target);
            return t == null ? 0 : t.used();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the number of slots in use here at all targets of the shard, reserved ones included.
     */
    public int inUse() {
        lock.lock();
        try {
            return targets.values().stream().mapToInt(TargetSlots::used).sum();
        } finally {
            lock.unlock();
        }
    }
}
