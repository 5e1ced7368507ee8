package org.godwithoist.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link Backoff}. */
final class BackoffTest {
    private static final Duration FIRST = Duration.ofSeconds(1);
    private static final Duration MAX = Duration.ofSeconds(4);

    @Nested
    final class RepeatedFailures {
        /** Guards against delays that do not grow, or grow without limit. */
        @Test
        void delaysGrowUpToTheMaximum() {
            Backoff backoff = new Backoff(FIRST, MAX, () -> 0);
            assertEquals(Duration.ofMillis(500), backoff.next());
            assertEquals(Duration.ofSeconds(1), backoff.next());
            assertEquals(Duration.ofSeconds(2), backoff.next());
            assertEquals(Duration.ofSeconds(2), backoff.next());
        }

        /** Guards against a new failure that waits as long as the last one of an earlier series. */
        @Test
        void successStartsAgainWithTheShortestDelay() {
            Backoff backoff = new Backoff(FIRST, MAX, () -> 0);
            backoff.next();
            backoff.next();
            backoff.reset();
            assertEquals(Duration.ofMillis(500), backoff.next());
        }
    }

    @Nested
    final class ManyProcesses {
        /** Guards against processes that fail together and retry at the same time. */
        @Test
        void delaysDiffer() {
            Set<Duration> delays =
                    IntStream.range(0, 50)
                            .mapToObj(i -> new Backoff(FIRST, MAX, new Random(i)).next())
                            .collect(Collectors.toSet());
            assertEquals(50, delays.size());
            assertTrue(delays.stream().allMatch(d -> d.compareTo(FIRST) <= 0));
        }
    }
}
