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
import org.godwithoist.core.time.VirtualTicker;
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

    /** Scenario: a task fails several times, for example because of one odd row, and then runs. */
    @Nested
    final class RecoveredTask {
        private final VirtualTicker ticker = new VirtualTicker();
        private final Supervisor virtual = new Supervisor((name, cause, backoff) -> {}, ticker);

        /** Guards against a daemon that stays out of service after its task has recovered. */
        @Test
        void noLongerCountsAsFailing() throws InterruptedException {
            AtomicInteger runs = new AtomicInteger();
            CountDownLatch running = new CountDownLatch(1);
            Thread task =
                    virtual.start(
                            "follow",
                            () -> {
                                if (runs.incrementAndGet() <= 3) {
                                    throw new IllegalStateException("odd row");
                                }
                                running.countDown();
                                Tasks.sleep(Duration.ofSeconds(TIMEOUT_S));
                            });
            assertTrue(running.await(TIMEOUT_S, TimeUnit.SECONDS));
            assertTrue(virtual.isFailing());
            ticker.advance(Supervisor.HEALTHY_RUN);
            assertFalse(virtual.isFailing());
            task.interrupt();
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

    @Nested
    final class Close {
        /** Guards against tasks that outlive the daemon that they belong to. */
        @Test
        void endsTasksThatRunOrWaitForABackoff() throws InterruptedException {
            CountDownLatch failed = new CountDownLatch(4);
            Thread waiting =
                    supervisor.start(
                            "fail",
                            () -> {
                                failed.countDown();
                                throw new IllegalStateException("odd row");
                            });
            Thread running =
                    supervisor.start("follow", () -> Tasks.sleep(Duration.ofSeconds(TIMEOUT_S)));
            assertTrue(failed.await(TIMEOUT_S, TimeUnit.SECONDS));
            supervisor.close();
            assertTrue(waiting.join(Duration.ofSeconds(1)));
            assertTrue(running.join(Duration.ofSeconds(1)));
        }

        /** Guards against a task that another one starts while all are being ended. */
        @Test
        void noTaskRunsAfterwards() throws InterruptedException {
            supervisor.close();
            AtomicInteger runs = new AtomicInteger();
            Thread task = supervisor.start("late", runs::incrementAndGet);
            assertTrue(task.join(Duration.ofSeconds(TIMEOUT_S)));
            assertEquals(0, runs.get());
        }
    }
}
