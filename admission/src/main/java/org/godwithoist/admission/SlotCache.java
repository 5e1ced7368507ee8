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
    private static final int MAX_SPEEDS = 64;

    /** Request that waits for a slot. */
    public static final class Waiter {
        private final SlotRequest request;
        private final long since;
        private final CompletableFuture<Slot> slot = new CompletableFuture<>();

        private Waiter(SlotRequest request, long since) {
            this.request = request;
            this.since = since;
        }

        /** Returns the future that completes with the slot. */
        public CompletableFuture<Slot> slot() {
            return slot;
        }
    }

    /** Granted slots of one response. */
    private static final class Batch {
        final long expiry;
        int left;

        Batch(long expiry, int left) {
            this.expiry = expiry;
            this.left = left;
        }
    }

    /**
     * Minimum number in use since three instants: the send times of the last two answered reports
     * and of the report in progress.
     */
    private static final class Minimum {
        private int now;
        private int sinceOpen;
        private int sinceLast;
        private int sinceBeforeLast;

        void change(int by) {
            now += by;
            sinceOpen = Math.min(sinceOpen, now);
            sinceLast = Math.min(sinceLast, now);
            sinceBeforeLast = Math.min(sinceBeforeLast, now);
        }

        void reportSent() {
            sinceOpen = now;
        }

        void reportAnswered() {
            sinceBeforeLast = sinceLast;
            sinceLast = sinceOpen;
        }

        void uncertain() {
            sinceOpen = 0;
            sinceLast = 0;
            sinceBeforeLast = 0;
        }
    }

    private static final class TargetSlots {
        final Deque<Batch> free = new ArrayDeque<>();
        final List<HeldSlot> held = new ArrayList<>();
        final Deque<Waiter> waiters = new ArrayDeque<>();
        final Minimum minimum = new Minimum();
        int inUse;
        int reservedTaken;
        boolean counted = true;
        long openUntil = NEVER;
        Optional<SlotReportResponse.TargetNews> news = Optional.empty();

        int used() {
            return minimum.now;
        }
    }

    private final ShardId shard;
    private final long incarnation;
    private final AdmissionTiming timing;
    private final Ticker ticker;
    private final SlotPolicy rules;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<TargetId, TargetSlots> targets = new HashMap<>();
    private final Minimum total = new Minimum();
    private final List<SlotReport.Speed> speeds = new ArrayList<>();

    private long epoch;
    private long sequence;
    private long reportedEpoch;
    private long introducedEpoch;
    private long sentAt;
    private long lookedAt;
    private long answeredAt = NEVER;
    private long unansweredSince = NEVER;
    private long openedAt = NEVER;
    private boolean sentEmpty;
    private boolean knownEmpty;
    private long lapsedSince = NEVER;
    private long lastStamp;
    private long stampBefore;
    private boolean changed;

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
            SlotPolicy rules) {
        this.shard = shard;
        this.incarnation = incarnation;
        this.timing = timing;
        this.ticker = ticker;
        this.rules = rules;
        this.sentAt = ticker.nanos();
        this.lookedAt = sentAt;
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
            changed = true;
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
        Batch batch = t.free.peekFirst();
        while (batch != null && (batch.left == 0 || now - batch.expiry >= 0)) {
            t.free.removeFirst();
            batch = t.free.peekFirst();
        }
        if (batch != null) {
            batch.left--;
            return Optional.of(hold(target, t, SlotSource.GRANTED, batch.expiry));
        }
        Optional<SlotSource> source = reservedSource(target, t, now);
        if (source.isEmpty() || !rules.acceptsWork(target)) {
            return Optional.empty();
        }
        t.reservedTaken++;
        boolean opened = source.get() == SlotSource.RESERVED_OPENED;
        long expiry = opened ? t.openUntil : now + timing.grantTtl().toNanos();
        return Optional.of(hold(target, t, source.get(), expiry));
    }

    private Slot hold(TargetId target, TargetSlots t, SlotSource source, long expiry) {
        String run = t.news.map(n -> n.targetIncarnation()).orElse("");
        HeldSlot slot = new HeldSlot(this, target, source, expiry, run);
        t.held.add(slot);
        changed = true;
        return slot;
    }

    /** Returns the source of a free reserved slot that may be used now; empty if there is none. */
    private Optional<SlotSource> reservedSource(TargetId target, TargetSlots t, long now) {
        if (t.reservedTaken >= rules.reservedHeld(target)) {
            return Optional.empty();
        }
        if (t.openUntil != NEVER && now - t.openUntil < 0) {
            return Optional.of(SlotSource.RESERVED_OPENED);
        }
        long since = ownerlessSince();
        boolean fits =
                since != NEVER
                        && now - since > timing.grantLife().toNanos()
                        && rules.inContactWithAll()
                        && rules.reservedFitWithoutOwner(
                                target, since + timing.grantLife().toNanos());
        return fits ? Optional.of(SlotSource.RESERVED_WITHOUT_OWNER) : Optional.empty();
    }

    /**
     * Returns the instant since which no owner can have granted slots to any daemon, or {@code
     * NEVER}.
     */
    private long ownerlessSince() {
        if (lapsedSince != NEVER) {
            return lapsedSince;
        }
        // An owner that did not respond for the unresponsive timeout has lost its lease, or it is
        // cut off and the contact rule applies to all other members. The time counts from the first
        // unanswered report, because an idle holder sends none.
        boolean lost = answeredAt != NEVER && unansweredSince != NEVER;
        long gone = lost ? unansweredSince + timing.unresponsiveTimeout().toNanos() : NEVER;
        return gone != NEVER && ticker.nanos() - gone > 0 ? gone : NEVER;
    }

    boolean use(HeldSlot slot) {
        lock.lock();
        try {
            TargetSlots t = slots(slot.target());
            if (slot.stage() != HeldSlot.Stage.HELD) {
                return slot.stage() == HeldSlot.Stage.USED;
            }
            boolean late = ticker.nanos() - slot.expiry() >= 0;
            if (late || !slot.source().mayUse(rules) || !rules.acceptsWork(slot.target())) {
                return false;
            }
            slot.stage(HeldSlot.Stage.USED);
            t.held.remove(slot);
            if (!slot.reserved()) {
                t.inUse++;
            }
            changeUse(t, 1);
            changed = true;
            return true;
        } finally {
            lock.unlock();
        }
    }

    void release(HeldSlot slot, Slot.Outcome outcome, Duration firstToken) {
        lock.lock();
        try {
            if (slot.stage() == HeldSlot.Stage.RELEASED) {
                return;
            }
            TargetSlots t = slots(slot.target());
            boolean used = slot.stage() == HeldSlot.Stage.USED;
            slot.stage(HeldSlot.Stage.RELEASED);
            t.held.remove(slot);
            if (used) {
                changeUse(t, -1);
            }
            if (slot.reserved()) {
                t.reservedTaken--;
            } else if (used) {
                t.inUse--;
            } else if (ticker.nanos() - slot.expiry() < 0) {
                t.free.addFirst(new Batch(slot.expiry(), 1));
            }
            boolean known = used && outcome.speedKnown() && !firstToken.isZero();
            if (known && speeds.size() < MAX_SPEEDS) {
                speeds.add(
                        new SlotReport.Speed(slot.target(), firstToken, slot.targetIncarnation()));
            }
            changed = true;
            serveWaiters(slot.target(), t);
        } finally {
            lock.unlock();
        }
    }

    private void changeUse(TargetSlots t, int by) {
        t.minimum.change(by);
        if (t.counted) {
            total.change(by);
        }
    }

    private void serveWaiters(TargetId target, TargetSlots t) {
        while (!t.waiters.isEmpty()) {
            Optional<Slot> slot = take(target, t);
            if (slot.isEmpty()) {
                return;
            }
            next(t).slot.complete(slot.get());
        }
    }

    /** Removes and returns the waiter with the highest priority; the oldest of several. */
    private Waiter next(TargetSlots t) {
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
        Duration waited = Duration.ofNanos(ticker.nanos() - w.since);
        return w.request.priority().aged(waited, timing.ageAfter());
    }

    // ---- exchange with the owner

    /** Sets the epoch of the shard's owner; responses of earlier epochs are ignored from now on. */
    public void setEpoch(long ownerEpoch) {
        lock.lock();
        try {
            if (ownerEpoch > epoch) {
                epoch = ownerEpoch;
                lastStamp = 0;
                stampBefore = 0;
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
            look(now);
            if (reportedEpoch != epoch) {
                return true;
            }
            Optional<Duration> every = period(now);
            return every.isPresent() && now - sentAt >= every.get().toNanos();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the interval between reports; empty if the owner needs no further report. */
    private Optional<Duration> period(long now) {
        boolean quiet = !changed && knownEmpty && !hasWork();
        if (changed || (!quiet && unansweredSince != NEVER)) {
            return Optional.of(timing.reportEvery());
        }
        if (!quiet || unansweredSince != NEVER) {
            return Optional.of(timing.idleReportEvery());
        }
        if (targets.keySet().stream().anyMatch(t -> rules.reservedHeld(t) > 0)) {
            // Reports keep the reserved slots enabled and show whether the owner still responds.
            // Without an owner, reserved slots may be used by the contact rule.
            return Optional.of(timing.idleReportEvery());
        }
        // The owner counts enabled reserved slots until a report sent after their TTL, which takes
        // two periods.
        boolean counted = openedAt != NEVER && now - openedAt < timing.grantLife().toNanos() * 2;
        return counted ? Optional.of(timing.idleReportEvery()) : Optional.empty();
    }

    private boolean hasWork() {
        return targets.values().stream()
                .anyMatch(
                        t ->
                                t.used() > 0
                                        || t.reservedTaken > 0
                                        || !t.waiters.isEmpty()
                                        || !t.held.isEmpty()
                                        || !t.free.isEmpty());
    }

    private void look(long now) {
        if (now - lookedAt > longestGap()) {
            pauseSeen();
        }
        lookedAt = now;
    }

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
     * @param spacing minimum interval since the last report
     */
    public boolean contendedReturnDue(Duration spacing) {
        lock.lock();
        try {
            return changed
                    && ticker.nanos() - sentAt >= spacing.toNanos()
                    && targets.values().stream()
                            .anyMatch(t -> t.news.map(n -> n.contended()).orElse(false));
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
            look(now);
            sequence++;
            sentAt = now;
            unansweredSince = unansweredSince == NEVER ? now : unansweredSince;
            changed = false;
            List<SlotReport.TargetUse> uses = new ArrayList<>();
            List<SlotReport.Demand> demands = new ArrayList<>();
            boolean firstToOwner = introducedEpoch != epoch;
            reportedEpoch = epoch;
            Iterator<Map.Entry<TargetId, TargetSlots>> it = targets.entrySet().iterator();
            while (it.hasNext()) {
                Map.Entry<TargetId, TargetSlots> e = it.next();
                if (!add(e.getKey(), e.getValue(), now, firstToOwner, uses, demands)) {
                    it.remove();
                }
            }
            var report =
                    new SlotReport(
                            shard,
                            epoch,
                            incarnation,
                            sequence,
                            stampBefore,
                            lastStamp,
                            total.sinceBeforeLast,
                            uses,
                            demands,
                            speeds);
            speeds.clear();
            sentEmpty = !hasWork();
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
    private long longestGap() {
        return timing.reportEvery().multipliedBy(2).plus(timing.exchangeTimeout()).toNanos();
    }

    private void pauseSeen() {
        total.uncertain();
        targets.values().forEach(t -> t.minimum.uncertain());
    }

    private boolean add(
            TargetId target,
            TargetSlots t,
            long now,
            boolean firstToOwner,
            List<SlotReport.TargetUse> uses,
            List<SlotReport.Demand> demands) {
        boolean accepts = rules.acceptsWork(target);
        if (accepts != t.counted) {
            t.counted = accepts;
            total.change(accepts ? t.used() : -t.used());
        }
        boolean contended = t.news.map(n -> n.contended()).orElse(false);
        if (contended && t.waiters.isEmpty()) {
            t.free.clear();
        }
        t.free.removeIf(b -> now - b.expiry >= 0);
        int unused = 0;
        for (Batch b : t.free) {
            unused += b.left;
        }
        for (HeldSlot s : t.held) {
            unused += !s.reserved() && now - s.expiry() < 0 ? 1 : 0;
        }
        int reservedHeld = rules.reservedHeld(target);
        int grown = firstToOwner ? t.news.map(n -> n.grown()).orElse(0) : 0;
        String run = grown == 0 ? "" : t.news.orElseThrow().targetIncarnation();
        boolean idle = t.used() == 0 && unused == 0 && t.reservedTaken == 0 && reservedHeld == 0;
        if (!idle || grown > 0) {
            uses.add(
                    new SlotReport.TargetUse(
                            target,
                            t.inUse,
                            unused,
                            t.reservedTaken,
                            t.minimum.sinceBeforeLast,
                            reservedHeld,
                            grown,
                            run));
        }
        addDemands(target, t, now, demands);
        return !idle || !t.waiters.isEmpty() || accepts;
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
            Duration waited = Duration.ofNanos(now - w.since);
            merged.merge(
                    key,
                    new SlotReport.Demand(target, w.request.workspace(), p, 1, waited),
                    SlotCache::sum);
        }
        demands.addAll(merged.values());
    }

    private static SlotReport.Demand sum(SlotReport.Demand a, SlotReport.Demand b) {
        Duration waited = Durations.max(a.waited(), b.waited());
        return new SlotReport.Demand(
                a.target(), a.workspace(), a.priority(), a.count() + b.count(), waited);
    }

    /**
     * Processes the owner's response to a report. A response to an earlier report, of an earlier
     * epoch or after the TTL grants nothing.
     */
    public void onResponse(SlotReport report, SlotReportResponse answer) {
        lock.lock();
        try {
            boolean current = report.incarnation() == incarnation && report.sequence() == sequence;
            if (!current || answer.epoch() != epoch) {
                return;
            }
            if (!answer.status().accepted()) {
                return;
            }
            long now = ticker.nanos();
            introducedEpoch = epoch;
            answeredAt = now;
            unansweredSince = NEVER;
            knownEmpty = sentEmpty;
            boolean lapsed = answer.status() == SlotReportResponse.Status.LEASE_EXPIRED;
            lapsedSince = !lapsed ? NEVER : lapsedSince == NEVER ? now : lapsedSince;
            stampBefore = lastStamp;
            lastStamp = answer.stamp();
            total.reportAnswered();
            targets.values().forEach(t -> t.minimum.reportAnswered());
            long expiry = sentAt + timing.grantTtl().toNanos();
            boolean expired = now - expiry >= 0;
            for (SlotReportResponse.TargetNews n : answer.news()) {
                TargetSlots t = slots(n.target());
                t.news = Optional.of(n);
                t.openUntil = n.reservedOpen() && !expired ? expiry : NEVER;
                openedAt = n.reservedOpen() ? now : openedAt;
            }
            if (!expired) {
                answer.grants().forEach(g -> granted(g, expiry));
            }
            targets.forEach(this::serveWaiters);
        } finally {
            lock.unlock();
        }
    }

    private void granted(SlotReportResponse.Grant g, long expiry) {
        TargetSlots t = slots(g.target());
        int left = g.count();
        Iterator<Waiter> it = t.waiters.iterator();
        while (left > 0 && it.hasNext()) {
            Waiter w = it.next();
            boolean meant =
                    w.request.workspace().equals(g.workspace())
                            && w.request.priority() == g.priority();
            if (meant) {
                it.remove();
                left--;
                w.slot.complete(hold(g.target(), t, SlotSource.GRANTED, expiry));
            }
        }
        if (left > 0) {
            t.free.addLast(new Batch(expiry, left));
            changed = true;
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
            boolean free = t.free.stream().anyMatch(b -> b.left > 0 && now - b.expiry < 0);
            if (free || reservedSource(target, t, now).isPresent()) {
                return Duration.ZERO;
            }
            return t.news.map(n -> n.expectedWait()).orElse(Duration.ZERO);
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
