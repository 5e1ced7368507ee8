package org.godwithoist.daemon;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Lifecycle stage of a daemon and its number of requests in progress, for which a drain waits.
 * Thread-safe.
 */
public final class Lifecycle {
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.STARTING);
    private final AtomicInteger inProgress = new AtomicInteger();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition becameIdle = lock.newCondition();

    /** Lifecycle stages, in order. */
    public enum Stage {
        /** The daemon has no bundle yet and rejects requests. */
        STARTING(false),
        /** The daemon accepts requests. */
        SERVING(true),
        /** The daemon completes requests in progress and rejects new ones. */
        DRAINING(false),
        /** The drain has ended. */
        STOPPED(false);

        private final boolean acceptsRequests;

        Stage(boolean acceptsRequests) {
            this.acceptsRequests = acceptsRequests;
        }

        /** Returns whether new requests are accepted. */
        public boolean acceptsRequests() {
            return acceptsRequests;
        }
    }

    /** Returns the current stage. */
    public Stage stage() {
        return stage.get();
    }

    /** Changes to {@link Stage#SERVING}; does nothing once a drain has begun. */
    public void serve() {
        stage.compareAndSet(Stage.STARTING, Stage.SERVING);
    }

    /** Changes to {@link Stage#DRAINING}. */
    public void drain() {
        stage.set(Stage.DRAINING);
    }

    /** Changes to {@link Stage#STOPPED}. */
    public void stop() {
        stage.set(Stage.STOPPED);
    }

    /**
     * Registers a request that begins. The caller must end it with {@link #endRequest}.
     *
     * @return false if the daemon accepts no new requests; the request is not registered then
     */
    public boolean beginRequest() {
        // Count before checking the stage, so that a drain that begins in between waits for this
        // request.
        inProgress.incrementAndGet();
        if (stage.get().acceptsRequests()) {
            return true;
        }
        endRequest();
        return false;
    }

    /** Unregisters a request that {@link #beginRequest} has registered. */
    public void endRequest() {
        if (inProgress.decrementAndGet() > 0) {
            return;
        }
        lock.lock();
        try {
            becameIdle.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return inProgress.get();
    }

    /**
     * Waits until no request is in progress.
     *
     * @return false if some are left after the given time, or if the thread was interrupted
     */
    public boolean awaitIdle(Duration timeout) {
        long remainingNanos = timeout.toNanos();
        lock.lock();
        try {
            while (inProgress.get() > 0 && remainingNanos > 0) {
                remainingNanos = becameIdle.awaitNanos(remainingNanos);
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
