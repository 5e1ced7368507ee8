package org.godwithoist.daemon;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The stage of a daemon's life and the requests in progress, which a drain waits for. Thread-safe.
 */
public final class Lifecycle {
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.STARTING);
    private final AtomicInteger inProgress = new AtomicInteger();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition idle = lock.newCondition();

    /** Stages of a daemon's life. */
    public enum Stage {
        /** The daemon has no bundle yet. */
        STARTING(false),
        /** The daemon serves requests. */
        SERVING(true),
        /** The daemon finishes what it has and takes nothing new. */
        DRAINING(false),
        /** Nothing is left to do. */
        STOPPED(false);

        private final boolean acceptsRequests;

        Stage(boolean acceptsRequests) {
            this.acceptsRequests = acceptsRequests;
        }

        /** Returns whether new requests are served. */
        public boolean acceptsRequests() {
            return acceptsRequests;
        }
    }

    /** Returns the present stage. */
    public Stage stage() {
        return stage.get();
    }

    /** Starts to serve; does nothing once a drain has begun. */
    public void serve() {
        stage.compareAndSet(Stage.STARTING, Stage.SERVING);
    }

    /** Begins a drain. */
    public void drain() {
        stage.set(Stage.DRAINING);
    }

    /** Ends the life. */
    public void stop() {
        stage.set(Stage.STOPPED);
    }

    /**
     * Counts a request in.
     *
     * @return false if the daemon takes no new requests; nothing is counted then
     */
    public boolean enter() {
        // Counting comes first: a drain that begins in between waits for this request.
        inProgress.incrementAndGet();
        if (stage.get().acceptsRequests()) {
            return true;
        }
        exit();
        return false;
    }

    /** Counts a request out. */
    public void exit() {
        if (inProgress.decrementAndGet() > 0) {
            return;
        }
        lock.lock();
        try {
            idle.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the requests in progress. */
    public int inProgress() {
        return inProgress.get();
    }

    /**
     * Waits until no request is in progress.
     *
     * @return false if some are left after the given time
     */
    public boolean awaitIdle(Duration patience) {
        long left = patience.toNanos();
        lock.lock();
        try {
            while (inProgress.get() > 0 && left > 0) {
                left = idle.awaitNanos(left);
            }
            return inProgress.get() == 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            lock.unlock();
        }
    }
}
