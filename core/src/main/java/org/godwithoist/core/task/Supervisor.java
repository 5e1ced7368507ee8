package org.godwithoist.core.task;

import java.io.Closeable;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.godwithoist.core.time.Durations;
import org.godwithoist.core.time.Ticker;

/**
 * Owner of the long-lived tasks of a process. A task that fails unexpectedly is reported and
 * started again after a backoff, because a process that has lost one of them, for example the one
 * that follows a table, would go on with outdated state. Thread-safe.
 */
public final class Supervisor implements Closeable {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

    /** A task that has run for this long is considered healthy again. */
    static final Duration HEALTHY_RUN = Duration.ofSeconds(10);

    /** Number of failures in a row from which a task counts as failing. */
    private static final int FAILURES_TO_REPORT = 3;

    /** Receives the failures, for logs. */
    @FunctionalInterface
    public interface FailureListener {
        /**
         * Called when a task has failed and will be started again.
         *
         * @param name name of the task
         * @param backoff delay until the task starts again
         */
        void taskFailed(String name, Throwable cause, Duration backoff);
    }

    private final FailureListener listener;
    private final Ticker ticker;
    private final LongAdder failures = new LongAdder();
    private final Set<Thread> running = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** Time of the last failure of each task that has failed several times in a row. */
    private final Map<String, Long> failingTasks = new ConcurrentHashMap<>();

    /** Creates a supervisor without tasks. */
    public Supervisor(FailureListener listener, Ticker ticker) {
        this.listener = listener;
        this.ticker = ticker;
    }

    /**
     * Starts a task. It ends when its body returns; interrupt the returned thread to stop it. After
     * {@link #close()} the body is not called.
     *
     * @param name unique name of the task
     * @param body endless loop of the task; is called again after each failure
     */
    public Thread start(String name, Runnable body) {
        return Tasks.start(name, () -> run(name, body));
    }

    /** Interrupts all tasks, so that they end. Does not wait for them. */
    @Override
    public void close() {
        closed = true;
        running.forEach(Thread::interrupt);
    }

    /** Returns the number of failures of all tasks since the start. */
    public long failures() {
        return failures.sum();
    }

    /** Returns whether a task fails again and again, so that its duty is not done. */
    public boolean isFailing() {
        long now = ticker.nanos();
        return failingTasks.values().stream().anyMatch(at -> now - at < HEALTHY_RUN.toNanos());
    }

    private void run(String name, Runnable body) {
        running.add(Thread.currentThread());
        try {
            runUntilEnd(name, body);
        } finally {
            running.remove(Thread.currentThread());
        }
    }

    private void runUntilEnd(String name, Runnable body) {
        int failuresInARow = 0;
        boolean ended = closed;
        while (!ended) {
            long startedAt = ticker.nanos();
            Throwable failure = runOnce(body);
            if (ticker.nanos() - startedAt >= HEALTHY_RUN.toNanos()) {
                failuresInARow = 0;
            }
            failuresInARow++;
            ended = closed || failure == null || !handleFailure(name, failure, failuresInARow);
        }
        failingTasks.remove(name);
    }

    /** Returns why the body failed; null if it returned. */
    private static Throwable runOnce(Runnable body) {
        try {
            body.run();
            return null;
        } catch (OutOfMemoryError e) {
            // The virtual machine ends the process; a part of it must not go on.
            throw e;
        } catch (RuntimeException | Error e) {
            return e;
        }
    }

    /** Reports a failure and waits for the backoff; returns false if the task was interrupted. */
    private boolean handleFailure(String name, Throwable failure, int failuresInARow) {
        failures.increment();
        if (failuresInARow >= FAILURES_TO_REPORT) {
            failingTasks.put(name, ticker.nanos());
        } else {
            failingTasks.remove(name);
        }
        Duration backoff = backoff(failuresInARow);
        listener.taskFailed(name, failure, backoff);
        return Tasks.sleep(backoff);
    }

    private static Duration backoff(int failuresInARow) {
        Duration backoff = INITIAL_BACKOFF;
        for (int i = 1; i < failuresInARow && backoff.compareTo(MAX_BACKOFF) < 0; i++) {
            backoff = backoff.multipliedBy(2);
        }
        return Durations.min(backoff, MAX_BACKOFF);
    }
}
