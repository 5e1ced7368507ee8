package org.godwithoist.dispatch.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.MemoryBudget;

/**
 * Limits the open connections of a listener, because each of them uses memory also while it is
 * idle. The connection that has been idle for longest makes room for a new one. Some of the
 * connections are kept for refusals, so that the listener goes on accepting while the others are in
 * use. Thread-safe.
 */
public final class ConnectionLimit {
    /** Connections of a kind, their cost and the share of the heap that all of them may use. */
    public enum Kind {
        /** Connections of callers. */
        CALLER(17_000, 0.3, 0.125),
        /** Connections to the readiness and the metrics endpoint. */
        STATUS(17_000, 0.025, 0),
        /** Connections of the members of a large fleet to their leader. */
        RELAY(8_000, 0.06, 0),
        /** Connections of daemons that reach no target themselves. */
        DAEMON(17_000, 0.08, 0);

        private final int bytesOfEach;
        private final double heapShare;
        private final double refusedShare;

        Kind(int bytesOfEach, double heapShare, double refusedShare) {
            this.bytesOfEach = bytesOfEach;
            this.heapShare = heapShare;
            this.refusedShare = refusedShare;
        }

        /**
         * Returns the maximum number of open connections.
         *
         * @param maxHeapBytes maximum size of the heap
         */
        int maxConnections(long maxHeapBytes) {
            return (int) (maxHeapBytes * heapShare / bytesOfEach);
        }

        /** Returns how many of the open connections may be served; the others are refused. */
        int maxServed(int maxConnections) {
            return maxConnections - (int) (maxConnections * refusedShare);
        }
    }

    /**
     * Time for which a connection has to be idle before it makes room. The caller of a new one is
     * about to send its request, which a busy daemon may not have read yet.
     */
    private static final Duration MIN_IDLE = Duration.ofSeconds(1);

    /**
     * The same if the request of a new connection has arrived. Callers on a busy host take more
     * than 100 ms from the connection to the request.
     */
    private static final Duration MIN_IDLE_FOR_REQUEST = Duration.ofMillis(500);

    /** Longest wait of a new connection for room. */
    private static final Duration MAX_WAIT = Duration.ofMillis(50);

    private static final Duration RELIEF_INTERVAL = Duration.ofMillis(10);

    /** A new connection that waits for room. */
    private static final class Waiter {
        private final BooleanSupplier requestArrived;
        private final CountDownLatch granted = new CountDownLatch(1);

        Waiter(BooleanSupplier requestArrived) {
            this.requestArrived = requestArrived;
        }
    }

    private final int maxOpen;
    private final IdleConnections idle;
    private final MemoryBudget.Relief relief;
    private final Semaphore places;
    private final List<Waiter> waiting = new ArrayList<>();
    private int room;
    private final LongAdder closedForRoom = new LongAdder();

    private ConnectionLimit(
            int maxOpen, int maxServed, IdleConnections idle, MemoryBudget.Relief relief) {
        this.maxOpen = maxOpen;
        this.relief = relief;
        this.idle = idle;
        places = new Semaphore(maxOpen);
        room = maxServed;
    }

    /**
     * Returns the limit of a listener without open connections.
     *
     * @param maxHeapBytes maximum size of the heap
     * @param idle connections of the listener that may be closed; empty if it keeps none
     */
    public static ConnectionLimit of(Kind kind, long maxHeapBytes, IdleConnections idle) {
        return of(kind, maxHeapBytes, idle, () -> false);
    }

    /**
     * Returns the limit of a listener without open connections.
     *
     * @param maxHeapBytes maximum size of the heap
     * @param idle connections of the listener that may be closed; empty if it keeps none
     * @param relief closes a connection that is not idle, if no idle one can make room
     */
    public static ConnectionLimit of(
            Kind kind, long maxHeapBytes, IdleConnections idle, MemoryBudget.Relief relief) {
        int max = kind.maxConnections(maxHeapBytes);
        int served = kind.maxServed(max);
        // At least one connection more than are served waits for room or is refused.
        return new ConnectionLimit(Math.max(max, served + 1), served, idle, relief);
    }

    /** Returns a limit that is never reached. */
    public static ConnectionLimit none() {
        return new ConnectionLimit(
                Integer.MAX_VALUE,
                Integer.MAX_VALUE,
                new IdleConnections(Ticker.SYSTEM),
                () -> false);
    }

    /** Returns the number of open connections, with those that are refused. */
    public int open() {
        return maxOpen - places.availablePermits();
    }

    /** Returns the number of connections that were closed because the limit was reached. */
    public long closedForRoom() {
        return closedForRoom.sum();
    }

    /**
     * Counts a new connection. Waits while connections that are refused take all places, which each
     * of them leaves soon.
     */
    void opened() {
        places.acquireUninterruptibly();
    }

    /** Ends the count of a connection. */
    void closed() {
        places.release();
    }

    /**
     * Takes room to serve an open connection. At the limit, closes an idle connection or waits
     * until one ends. Those whose request has arrived get room first, each kind in the order of
     * arrival.
     *
     * @param requestArrived whether a request has arrived on the connection
     * @return false if there is no room and the connection has to be refused
     */
    boolean tryServe(BooleanSupplier requestArrived) {
        Waiter waiter = new Waiter(requestArrived);
        boolean hasRoom = tryEnter(waiter) || awaitRoom(waiter);
        if (!hasRoom) {
            closedForRoom.increment();
        }
        return hasRoom;
    }

    private synchronized boolean tryEnter(Waiter waiter) {
        if (room > 0) {
            room--;
            return true;
        }
        waiting.add(waiter);
        return false;
    }

    private boolean awaitRoom(Waiter waiter) {
        long start = System.nanoTime();
        boolean hasRoom = false;
        boolean mayWait = true;
        try {
            while (!hasRoom && mayWait) {
                if (isFirst(waiter)) {
                    makeRoom();
                }
                mayWait = System.nanoTime() - start < MAX_WAIT.toNanos();
                hasRoom =
                        mayWait
                                ? waiter.granted.await(
                                        RELIEF_INTERVAL.toNanos(), TimeUnit.NANOSECONDS)
                                : withdraw(waiter);
            }
            return hasRoom;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return withdraw(waiter);
        }
    }

    private synchronized boolean isFirst(Waiter waiter) {
        return !waiting.isEmpty() && waiting.getFirst() == waiter;
    }

    /** Returns whether new connections wait for the room of others. */
    public boolean isWanted() {
        return waiting() > 0;
    }

    /** Returns the number of new connections that wait for room. */
    synchronized int waiting() {
        return waiting.size();
    }

    private synchronized List<Waiter> waiters() {
        return List.copyOf(waiting);
    }

    /** Closes a connection for each new one that waits, if there are any that give way. */
    private void makeRoom() {
        boolean hasRelief = true;
        for (Waiter w : waiters()) {
            boolean arrived = w.requestArrived.getAsBoolean();
            if (idle.closeLongestIdle(arrived ? MIN_IDLE_FOR_REQUEST : MIN_IDLE)) {
                closedForRoom.increment();
            } else {
                hasRelief = hasRelief && relief.makeRoom();
            }
        }
    }

    private synchronized boolean withdraw(Waiter waiter) {
        return !waiting.remove(waiter);
    }

    /** Gives back the room of a connection that was served, to one that waits if there is any. */
    synchronized void served() {
        if (waiting.isEmpty()) {
            room++;
            return;
        }
        Waiter next =
                waiting.stream()
                        .filter(w -> w.requestArrived.getAsBoolean())
                        .findFirst()
                        .orElse(waiting.getFirst());
        waiting.remove(next);
        next.granted.countDown();
    }
}
