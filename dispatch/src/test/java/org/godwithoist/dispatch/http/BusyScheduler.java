package org.godwithoist.dispatch.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.godwithoist.core.task.Tasks;

/**
 * Keeps all threads that run tasks busy until it is closed, so that no other task runs, as on a
 * host with more work than processors. To be used by a platform thread.
 */
final class BusyScheduler implements AutoCloseable {
    /** Property of the JDK with the number of threads that run tasks, if it is set. */
    private static final String PARALLELISM = "jdk.virtualThreadScheduler.parallelism";

    private final AtomicBoolean closed = new AtomicBoolean();

    BusyScheduler() throws InterruptedException {
        int threads = Integer.getInteger(PARALLELISM, Runtime.getRuntime().availableProcessors());
        CountDownLatch started = new CountDownLatch(threads);
        for (int i = 0; i < threads; i++) {
            Tasks.start("busy", () -> run(started));
        }
        started.await();
    }

    private void run(CountDownLatch started) {
        started.countDown();
        while (!closed.get()) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        closed.set(true);
    }
}
