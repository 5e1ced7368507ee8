package org.godwithoist.core.task;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SignalTest {
    private static final Duration LONG = Duration.ofMinutes(1);
    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(10);

    private final Signal signal = new Signal();

    @Nested
    final class Raised {
        /** Guards against a signal that is lost because nobody waits for it yet. */
        @Test
        void endsTheNextWait() {
            signal.raise();
            assertTimeoutPreemptively(TEST_TIMEOUT, () -> signal.await(LONG));
        }

        /** Guards against a task that runs once for each of many signals. */
        @Test
        void countsOnce() {
            signal.raise();
            signal.raise();
            assertTrue(signal.await(LONG));
            Duration wait = Duration.ofMillis(30);
            long startedAt = System.nanoTime();
            assertTrue(signal.await(wait));
            assertTrue(System.nanoTime() - startedAt >= wait.toNanos());
        }
    }

    @Nested
    final class Interrupted {
        /** Guards against a task that cannot be stopped while it waits. */
        @Test
        void endsTheWaitAndKeepsTheStatus() {
            Thread.currentThread().interrupt();
            assertFalse(signal.await(LONG));
            assertTrue(Thread.interrupted());
        }
    }
}
