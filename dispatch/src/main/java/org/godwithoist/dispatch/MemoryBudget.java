package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

/**
 * Limits the memory of the requests in progress, so that a daemon refuses requests long before its
 * heap is used up: the end of a process costs all its requests. Memory that is released goes to the
 * reservations that wait for it, in their order, not to whoever asks next. Thread-safe.
 */
public final class MemoryBudget {
    /**
     * Share of the heap for requests. The rest is for connections, the state of the daemon and
     * objects that are no longer in use.
     */
    private static final double HEAP_SHARE = 0.35;

    /**
     * Share of the budget for the bodies of all requests, so that a few large ones do not displace
     * the other requests.
     */
    private static final double BODY_SHARE = 0.75;

    /** Share of the budget for large bodies, unless there is only one. */
    private static final double LARGE_BODY_SHARE = 0.6;

    /**
     * Heap that a request in progress uses besides its caller's connection and its body, in bytes:
     * its header fields, its task and its connection to a target.
     */
    public static final int REQUEST_BYTES = 25_000;

    /** Share of the budget that each level of priority leaves to the more urgent levels. */
    private static final double PRIORITY_STEP = 0.02;

    private static final int MAX_PRIORITY = 9;

    /**
     * Longest wait of a request that has just arrived. Connections that stall give way within a
     * fraction of it.
     */
    private static final Duration MAX_START_WAIT = Duration.ofSeconds(2);

    /** Longest wait of a request that holds memory while it waits for more. */
    private static final Duration MAX_GROWTH_WAIT = Duration.ofMillis(50);

    /** Time in which a connection that was closed releases its memory. */
    private static final Duration RELEASE_TIME = Duration.ofMillis(50);

    /** Interval at which the first waiting reservation asks for relief. */
    private static final Duration RELIEF_INTERVAL = Duration.ofMillis(10);

    /** What memory is reserved for. */
    public enum Use {
        /** The requests themselves. */
        REQUEST(1),
        /** Heads that are being read or belong to requests in progress. */
        HEAD(0.5),
        /** Bodies of requests. */
        BODY(BODY_SHARE),
        /** Large bodies, which leave a part of the memory for bodies to the small ones. */
        LARGE_BODY(LARGE_BODY_SHARE, BODY),
        /** Parts of responses that wait for their end or for their caller. */
        RESPONSE(0.75);

        private final double share;

        /** The use that this one is a part of; null if there is none. */
        private final Use whole;

        Use(double share) {
            this(share, null);
        }

        Use(double share, Use whole) {
            this.share = share;
            this.whole = whole;
        }
    }

    /** Makes room when a reservation would exceed the limit. */
    @FunctionalInterface
    public interface Relief {
        /** Returns whether memory will be released in a moment. */
        boolean makeRoom();

        /** Returns whether it is worth waiting, although there is nothing to release now. */
        default boolean mayMakeRoom() {
            return false;
        }
    }

    /** Memory that is asked for. What it reads is guarded by the lock of the budget. */
    private final class Claim {
        private final Use use;
        private final long bytes;
        private final long held;
        private final double share;
        private final boolean isFirst;
        private final BooleanSupplier isAbandoned;
        private final CountDownLatch granted = new CountDownLatch(1);

        /**
         * Creates a claim.
         *
         * @param held bytes that the reservation holds already
         * @param share share of the budget that may be in use afterwards
         * @param isFirst whether it precedes the claims of requests that hold less than they ask
         *     for
         * @param isAbandoned whether the caller has left, so that nobody needs the memory
         */
        Claim(
                Use use,
                long bytes,
                long held,
                double share,
                boolean isFirst,
                BooleanSupplier isAbandoned) {
            this.use = use;
            this.bytes = bytes;
            this.held = held;
            this.share = share;
            this.isFirst = isFirst;
            this.isAbandoned = isAbandoned;
        }

        /**
         * Returns whether the claim is met before another one that has waited for longer. Of large
         * bodies, the one that holds most is nearest to its end.
         */
        boolean precedes(Claim other) {
            boolean areLarge = use == Use.LARGE_BODY && other.use == Use.LARGE_BODY;
            return isFirst && (!other.isFirst || (areLarge && held > other.held));
        }

        /** Returns whether the claim could be met if nothing else was reserved. */
        boolean canFit() {
            Use largest = use.whole == null ? use : use.whole;
            return held + bytes <= limit * Math.min(share, largest.share);
        }

        boolean fits() {
            boolean fits = reserved + bytes <= limit * share;
            for (Use u = isAlone() ? use.whole : use; u != null; u = u.whole) {
                fits &= reservedByUse.get(u) + bytes <= limit * u.share;
            }
            return fits;
        }

        /** Returns whether it is that of the only large body, which has no others to leave room. */
        private boolean isAlone() {
            return use.whole != null && reservedByUse.get(use) == held;
        }

        /** Returns whether it waits for memory that claims for all uses compete for. */
        boolean lacksTotal() {
            return reserved + bytes > limit;
        }
    }

    private final long limit;
    private final Relief relief;
    private final LongAdder refusals = new LongAdder();
    private final ReentrantLock lock = new ReentrantLock();
    private final List<Claim> waiting = new ArrayList<>();
    private final Map<Use, Long> reservedByUse = new EnumMap<>(Use.class);
    private long reserved;

    /** Time at which memory was about to be released. */
    private volatile long reliefAt = System.nanoTime() - MAX_START_WAIT.toNanos();

    private MemoryBudget(long limit, Relief relief) {
        this.limit = limit;
        this.relief = relief;
        for (Use u : Use.values()) {
            reservedByUse.put(u, 0L);
        }
    }

    /**
     * Returns the budget of a daemon without requests, which refuses reservations beyond its limit.
     *
     * @param maxHeapBytes maximum size of the heap
     */
    public static MemoryBudget ofHeap(long maxHeapBytes) {
        return ofHeap(maxHeapBytes, () -> false);
    }

    /**
     * Returns the budget of a daemon without requests.
     *
     * @param maxHeapBytes maximum size of the heap
     * @param relief makes room for reservations beyond the limit
     */
    public static MemoryBudget ofHeap(long maxHeapBytes, Relief relief) {
        return new MemoryBudget((long) (maxHeapBytes * HEAP_SHARE), relief);
    }

    /** Memory reserved for one use; released by {@link #close}. Used by one task. */
    public final class Reservation implements AutoCloseable {
        private final BooleanSupplier isAbandoned;
        private Use use;
        private long bytes;

        private Reservation(Use use, BooleanSupplier isAbandoned) {
            this.use = use;
            this.isAbandoned = isAbandoned;
        }

        /** Returns the bytes that are reserved. */
        public long bytes() {
            return bytes;
        }

        /**
         * Reserves more bytes.
         *
         * @throws RefusedException if the limit would be exceeded
         */
        public void grow(long more) throws RefusedException {
            if (more == 0) {
                return;
            }
            // What a running response needs is released soon, if its request can go on.
            boolean isFirst = use == Use.RESPONSE || bytes >= more;
            boolean mayWait = use == Use.LARGE_BODY || (use == Use.BODY && bytes == 0);
            Duration maxWait = mayWait ? MAX_START_WAIT : MAX_GROWTH_WAIT;
            take(new Claim(use, more, bytes, 1, isFirst, isAbandoned), maxWait);
            bytes += more;
        }

        /**
         * Moves what is reserved to another use and reserves more bytes for it.
         *
         * @throws RefusedException if the limit would be exceeded; the reservation stays as it was
         */
        public void growAs(Use next, long more) throws RefusedException {
            Reservation moved = new Reservation(next, isAbandoned);
            moved.grow(bytes + more);
            release(use, bytes);
            use = next;
            bytes = moved.bytes;
        }

        /** Releases the bytes beyond the given number. */
        public void shrinkTo(long remaining) {
            release(use, bytes - remaining);
            bytes = remaining;
        }

        @Override
        public void close() {
            shrinkTo(0);
        }
    }

    /** Returns a reservation of no bytes, which can grow. */
    public Reservation emptyReservation(Use use) {
        return emptyReservation(use, () -> false);
    }

    /**
     * Returns a reservation of no bytes, which can grow.
     *
     * @param isAbandoned whether the caller has left, so that the reservation no longer waits
     */
    public Reservation emptyReservation(Use use, BooleanSupplier isAbandoned) {
        return new Reservation(use, isAbandoned);
    }

    /**
     * Reserves bytes for a body.
     *
     * @throws RefusedException if the limit would be exceeded
     */
    public Reservation reserveBody(long bytes) throws RefusedException {
        Reservation reservation = emptyReservation(Use.BODY);
        reservation.grow(bytes);
        return reservation;
    }

    /**
     * Reserves the memory of a request besides its body, until {@link #requestEnded}.
     *
     * @param priority priority of the request, 0 is the highest; a part of the budget is left to
     *     more urgent requests
     * @param bodyBytes size of the body that the request holds; a request with a large one precedes
     *     those that hold less than they ask for
     * @param isAbandoned whether the caller has left, so that the request no longer waits
     * @throws RefusedException if the limit would be exceeded
     */
    void requestStarted(int priority, long bodyBytes, BooleanSupplier isAbandoned)
            throws RefusedException {
        int level = Math.clamp(priority, 0, MAX_PRIORITY);
        double share = 1 - level * PRIORITY_STEP;
        boolean isFirst = bodyBytes >= REQUEST_BYTES;
        Claim claim = new Claim(Use.REQUEST, REQUEST_BYTES, 0, share, isFirst, isAbandoned);
        take(claim, MAX_START_WAIT);
    }

    /** Releases the memory of a request. */
    void requestEnded() {
        release(Use.REQUEST, REQUEST_BYTES);
    }

    /** Returns the number of reservations that were refused. */
    public long refusals() {
        return refusals.sum();
    }

    /** Returns the bytes that requests may use. */
    public long limitBytes() {
        return limit;
    }

    /** Returns the number of reservations that wait for memory. */
    int waiting() {
        lock.lock();
        try {
            return waiting.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the bytes that are reserved now. */
    public long reservedBytes() {
        lock.lock();
        try {
            return reserved;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes memory, if necessary after a wait for other requests or for connections that were
     * closed.
     */
    private void take(Claim claim, Duration maxWait) throws RefusedException {
        boolean taken = claim.canFit() && (tryTake(claim) || awaitGrant(claim, maxWait));
        if (!taken) {
            refusals.increment();
            throw new RefusedException(
                    Refusal.NO_MEMORY, "the memory for requests in progress is in use");
        }
    }

    /** Enters a claim and returns whether it was granted at once. */
    private boolean tryTake(Claim claim) {
        lock.lock();
        try {
            waiting.add(placeOf(claim), claim);
            grant();
            return !waiting.contains(claim);
        } finally {
            lock.unlock();
        }
    }

    private int placeOf(Claim claim) {
        int place = 0;
        while (place < waiting.size() && !claim.precedes(waiting.get(place))) {
            place++;
        }
        return place;
    }

    /**
     * Grants the waiting claims that fit, in their order. A claim that lacks memory that all uses
     * compete for keeps it from those behind it, unless it is that of a large body; one beyond the
     * share of its use keeps it from those of its use.
     */
    private void grant() {
        Set<Use> exhausted = EnumSet.noneOf(Use.class);
        Iterator<Claim> claims = waiting.iterator();
        while (claims.hasNext()) {
            Claim c = claims.next();
            if (!exhausted.contains(c.use) && c.fits()) {
                add(c.use, c.bytes);
                claims.remove();
                c.granted.countDown();
            } else if (c.use == Use.LARGE_BODY) {
                // A large body waits for as much as many others need together.
                exhausted.add(c.use);
            } else if (c.lacksTotal()) {
                return;
            } else if (c.use != Use.REQUEST) {
                // A request that leaves memory to more urgent ones does not hold these up.
                exhausted.add(c.use);
            }
        }
    }

    /**
     * Waits while memory may be released. Only the first claim asks for relief, so that the cost of
     * the search does not grow with the number of claims; the others wait as long as there is some.
     *
     * @return whether the claim was granted; otherwise it is withdrawn
     */
    private boolean awaitGrant(Claim claim, Duration maxWait) {
        boolean done = false;
        try {
            boolean granted = awaitGrantOrRelief(claim, maxWait);
            done = true;
            return granted;
        } finally {
            // A claim that is left behind after an error would keep memory from all others.
            if (!done && withdraw(claim)) {
                release(claim.use, claim.bytes);
            }
        }
    }

    private boolean awaitGrantOrRelief(Claim claim, Duration maxWait) {
        long start = System.nanoTime();
        boolean granted = false;
        boolean mayWait = true;
        while (!granted && mayWait) {
            int waiters = numberOfWaiters(claim);
            long now = System.nanoTime();
            if (waiters > 0 && (makeRoom(waiters) || relief.mayMakeRoom())) {
                reliefAt = now;
            }
            long withoutRelief = now - (waiters > 0 ? reliefAt : Math.max(reliefAt, start));
            // The task of the first claim may not have run for a while on a busy host.
            boolean hasRelief =
                    withoutRelief < RELEASE_TIME.toNanos()
                            || (waiters == 0 && relief.mayMakeRoom());
            mayWait =
                    now - start < maxWait.toNanos()
                            && hasRelief
                            && !claim.isAbandoned.getAsBoolean()
                            && !Thread.currentThread().isInterrupted();
            granted = mayWait ? awaitGrant(claim) : withdraw(claim);
        }
        return granted;
    }

    /** Returns the number of waiting claims if the given one is the first, otherwise 0. */
    private int numberOfWaiters(Claim claim) {
        lock.lock();
        try {
            return !waiting.isEmpty() && waiting.getFirst() == claim ? waiting.size() : 0;
        } finally {
            lock.unlock();
        }
    }

    /** Asks for relief once for each waiting claim and returns whether there was any. */
    private boolean makeRoom(int waiters) {
        int made = 0;
        while (made < waiters && relief.makeRoom()) {
            made++;
        }
        return made > 0;
    }

    /** Waits for a moment and returns whether the claim was granted. */
    private static boolean awaitGrant(Claim claim) {
        try {
            return claim.granted.await(RELIEF_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Ends the wait of a claim and returns whether it was granted. */
    private boolean withdraw(Claim claim) {
        lock.lock();
        try {
            boolean wasWaiting = waiting.remove(claim);
            if (wasWaiting) {
                grant();
            }
            return !wasWaiting;
        } finally {
            lock.unlock();
        }
    }

    private void add(Use use, long bytes) {
        reserved += bytes;
        for (Use u = use; u != null; u = u.whole) {
            reservedByUse.merge(u, bytes, Long::sum);
        }
    }

    private void release(Use use, long bytes) {
        lock.lock();
        try {
            add(use, -bytes);
            grant();
        } finally {
            lock.unlock();
        }
    }
}
