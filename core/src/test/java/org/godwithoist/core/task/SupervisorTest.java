package org.godwithoist.core.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.core.time.Ticker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SupervisorTest {
    private static final long TIMEOUT_S = 10;

    private final List<String> reports = new CopyOnWriteArrayList<>();
    private final Supervisor supervisor =
            new Supervisor(
                    (name, cause, backoff) -> reports.add(name + " " + cause), Ticker.SYSTEM);

    @Nested
    final class FailingTask {
        /**
         * Guards against a duty that nobody does any more after an unexpected exception or error.
         */
        @Test
        void isReportedAndStartedAgain() throws InterruptedException {
            AtomicInteger runs = new AtomicInteger();
            CountDownLatch thirdRun = new CountDownLatch(1);
            supervisor.start(
                    "follow",
                    () -> {
                        switch (runs.incrementAndGet()) {
                            case 1 -> throw new IllegalStateException("odd row");
                            case 2 -> throw new StackOverflowError();
                            default -> thirdRun.countDown();
                        }
                    });
            assertTrue(thirdRun.await(TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(2, supervisor.failures());
            assertEquals("follow java.lang.IllegalStateException: odd row", reports.get(0));
            assertFalse(supervisor.isFailing());
        }

        /** Guards against a daemon that reports itself ready although a duty is not done. */
        @Test
        void countsAsFailingUntilItRuns() throws InterruptedException {
            AtomicInteger runs = new AtomicInteger();
            Thread task =
                    supervisor.start(
                            "follow",
                            () -> {
                                if (runs.incrementAndGet() <= 3) {
                                    throw new IllegalStateException("odd row");
                                }
                            });
            for (int i = 0; i < TIMEOUT_S * 100 && !supervisor.isFailing(); i++) {
                Tasks.sleep(Duration.ofMillis(10));
            }
            assertTrue(supervisor.isFailing());
            task.join(Duration.ofSeconds(TIMEOUT_S));
            assertFalse(supervisor.isFailing());
        }
    }

    @Nested
    final class EndingTask {
        /** Guards against a task that cannot be stopped. */
        @Test
        void isNotStartedAgain() throws InterruptedException {
            AtomicInteger runs = new AtomicInteger();
            Thread task = supervisor.start("once", runs::incrementAndGet);
            assertTrue(task.join(Duration.ofSeconds(TIMEOUT_S)));
            assertEquals(1, runs.get());
            assertEquals(0, supervisor.failures());
        }
    }
}
