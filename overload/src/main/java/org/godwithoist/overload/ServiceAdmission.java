package org.godwithoist.overload;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;

/**
 * Decides at one daemon which requests to one service may go to targets. While the targets have
 * free slots, every request gets one at once. While they show that they are full, this daemon uses
 * its part of the limit, the other requests wait in order, and a request that cannot be served in
 * time is refused at once. Thread-safe.
 */
final class ServiceAdmission {
    private static final double NANOS_PER_SECOND = 1e9;

    private final ServiceId service;
    private final OverloadLimits limits;
    private final CapacityObserver observer;
    private final Ticker ticker;
    private final ReentrantLock lock = new ReentrantLock();
    private final DemandMeter meter;
    private final ShareCredits credits;
    private final KindFloors floors;
    private final AdmissionQueue queue;
    private final DaemonLimit limit;
    private final SlotAllowance allowance;
    private final ReturnSchedule returns;
    private final FirstByteRatio firstByteRatio = new FirstByteRatio();
    private final RefusalCounts refusals = new RefusalCounts();
    private int inProgress;

    ServiceAdmission(
            ServiceId service,
            CapacitySource source,
            OverloadLimits limits,
            CapacityObserver observer,
            Ticker ticker,
            RandomGenerator random) {
        this.service = service;
        this.limits = limits;
        this.observer = observer;
        this.ticker = ticker;
        long now = ticker.nanos();
        meter = new DemandMeter(now);
        credits = new ShareCredits(now);
        floors = new KindFloors(limits.kindFloor(), now);
        queue = new AdmissionQueue(credits, floors, meter);
        limit = new DaemonLimit(source, limits, meter, credits, now);
        allowance = limit.allowance();
        returns = new ReturnSchedule(limits.retryShareDivisor(), random);
    }

    // ---- requests

    /** Asks for a slot. The ticket has one, waits or is refused; it must be closed. */
    Ticket enter(AdmissionRequest request) {
        lock.lock();
        try {
            long now = ticker.nanos();
            if (limit.isOutdated(now)) {
                refresh(now);
            }
            if (!limit.isActive()) {
                return Ticket.UNLIMITED;
            }
            Ticket ticket =
                    new Ticket(
                            this, request, now, now + firstByteRatio.tolerance(request).toNanos());
            meter.arrived(request.workspace(), now);
            floors.arrived(request.priority(), now);
            limit.addWorkspace(request.workspace(), now);
            queue.add(ticket);
            grantPermitted(now);
            refuseTooLate(ticket, now);
            return ticket;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Grants what is permitted now. Returns the time after which the request's task has to call
     * again, in nanoseconds; 0 if the request is decided.
     */
    long proceed(Ticket ticket) {
        lock.lock();
        try {
            long now = ticker.nanos();
            grantPermitted(now);
            if (ticket.state() != Ticket.State.WAITING) {
                return 0;
            }
            long waitNanos = ticket.waitEndsAt() - now;
            if (waitNanos <= 0) {
                refuse(ticket, CapacityRefusal.Reason.WAITED, now);
                wakeFirst();
                return 0;
            }
            boolean isFirst = queue.ordered().getFirst() == ticket;
            return isFirst
                    ? Math.min(waitNanos, allowance.nanosUntilPermitted(inProgress, now))
                    : waitNanos;
        } finally {
            lock.unlock();
        }
    }

    /** Removes a request whose caller has left. */
    void leave(Ticket ticket) {
        lock.lock();
        try {
            if (queue.remove(ticket)) {
                meter.left(ticket.request().workspace());
                ticket.setLeft();
                wakeFirst();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns the slot of a request that has ended. */
    void release(Ticket ticket) {
        lock.lock();
        try {
            long now = ticker.nanos();
            long held = now - ticket.grantedAt();
            WorkspaceKey key = ticket.request().workspace();
            inProgress--;
            meter.ended(key, held);
            credits.charge(key, held / NANOS_PER_SECOND - ticket.charge());
            grantPermitted(now);
            // A part of a slot may be due soon, or another request may be the first one now.
            wakeFirst();
        } finally {
            lock.unlock();
        }
    }

    void recordResponse(AdmissionRequest request, long firstByteNanos) {
        lock.lock();
        try {
            double ratio = (double) firstByteNanos / request.latencyObjective().toNanos();
            firstByteRatio.record(ratio);
            limit.fleetLimit().recordResponse(ratio > 1, ticker.nanos());
        } finally {
            lock.unlock();
        }
    }

    void recordRefusal() {
        lock.lock();
        try {
            limit.fleetLimit().recordRefusal(ticker.nanos());
        } finally {
            lock.unlock();
        }
    }

    // ---- decisions

    private void grantPermitted(long now) {
        boolean granted = false;
        while (!queue.isEmpty() && (!limit.isLimited() || allowance.permits(inProgress, now))) {
            grant(queue.ordered().getFirst(), now);
            granted = true;
        }
        if (granted) {
            wakeFirst();
        }
    }

    private void grant(Ticket ticket, long now) {
        WorkspaceKey key = ticket.request().workspace();
        double hold = meter.holdSeconds(key);
        queue.remove(ticket);
        meter.started(key);
        credits.charge(key, hold);
        if (limit.isLimited()) {
            allowance.start(inProgress, now);
            floors.served(ticket.request().priority(), now);
        }
        inProgress++;
        ticket.grant(hold, now);
    }

    /**
     * Refuses requests that would wait for longer than they tolerate, at the rate at which slots
     * become free, those that come last in the order first.
     *
     * @param arrived the request that has just arrived
     */
    private void refuseTooLate(Ticket arrived, long now) {
        if (queue.isEmpty()) {
            return;
        }
        double nanosPerSlot = NANOS_PER_SECOND / allowance.freedPerSecond();
        double excess = Math.max(0, inProgress - Math.ceil(allowance.slots()));
        double first =
                Math.min(
                        (excess + 1) * nanosPerSlot,
                        (double) allowance.nanosUntilPermitted(inProgress, now));
        int ahead = 0;
        for (Ticket t : queue.ordered()) {
            double wait = first + ahead * nanosPerSlot;
            if (ahead >= limits.maxWaiting()) {
                refuse(t, CapacityRefusal.Reason.QUEUE_FULL, now);
            } else if (wait > t.waitEndsAt() - now) {
                refuse(t, reason(t, arrived), now);
            } else {
                ahead++;
            }
        }
        wakeFirst();
    }

    private static CapacityRefusal.Reason reason(Ticket ticket, Ticket arrived) {
        return ticket == arrived
                ? CapacityRefusal.Reason.WAIT_TOO_LONG
                : CapacityRefusal.Reason.OVERTAKEN;
    }

    private void refuse(Ticket ticket, CapacityRefusal.Reason reason, long now) {
        queue.remove(ticket);
        meter.left(ticket.request().workspace());
        refusals.add(reason);
        Duration waited = Duration.ofNanos(now - ticket.enteredAt());
        Duration timeLeft = Durations.max(Duration.ZERO, ticket.request().timeLeft().minus(waited));
        Duration retryAfter = returns.next(queue.size(), allowance.freedPerSecond(), timeLeft, now);
        ticket.refuse(new CapacityRefusal(reason, retryAfter));
    }

    /** Wakes the first request in the order, whose task waits for the next slot. */
    private void wakeFirst() {
        if (!queue.isEmpty()) {
            queue.ordered().getFirst().wake();
        }
    }

    // ---- capacity

    /** Reads the signals, and grants slots that have become free by them. */
    void refresh() {
        lock.lock();
        try {
            long now = ticker.nanos();
            refresh(now);
            grantPermitted(now);
            wakeFirst();
        } finally {
            lock.unlock();
        }
    }

    private void refresh(long now) {
        if (limit.refresh(now)) {
            observer.limitedChanged(status());
        }
    }

    /** Returns this daemon's demand by workspace. */
    Map<WorkspaceKey, Demand> demand() {
        lock.lock();
        try {
            return meter.demand(ticker.nanos());
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the other daemons need to know this daemon's demand. */
    boolean reportsDemand() {
        lock.lock();
        try {
            return limit.concernsOthers();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the current state. */
    ServiceStatus status() {
        lock.lock();
        try {
            return new ServiceStatus(
                    service,
                    limit.isActive(),
                    limit.isLimited(),
                    limit.signals().slots(),
                    limit.signals().inProgress(),
                    allowance.slots(),
                    inProgress,
                    queue.size(),
                    limit.isEvenShare(),
                    limit.isLimited() ? credits.overShare() : 0,
                    refusals.byReason());
        } finally {
            lock.unlock();
        }
    }
}
