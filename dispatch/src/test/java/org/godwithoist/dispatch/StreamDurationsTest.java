package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.catalog.RouteId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StreamDurationsTest {
    private static final RouteId ROUTE = new RouteId("chat");
    private static final Duration SHORT = Duration.ofMillis(100);
    private static final Duration LONG = Duration.ofSeconds(9);

    private final StreamDurations durations = new StreamDurations();

    @Nested
    final class OneRoute {
        /** Guards against a stream whose expected end is that of an average one. */
        @Test
        void longestStreamCounts() {
            assertEquals(Optional.empty(), durations.longest(ROUTE));
            durations.record(ROUTE, LONG);
            durations.record(ROUTE, SHORT);
            assertEquals(Optional.of(LONG), durations.longest(ROUTE));
        }

        /** Guards against one long stream that has all streams of a stop refused for good. */
        @Test
        void longStreamIsForgotten() {
            durations.record(ROUTE, LONG);
            for (int i = 0; i < 64; i++) {
                durations.record(ROUTE, SHORT);
            }
            assertEquals(Optional.of(SHORT), durations.longest(ROUTE));
        }
    }

    @Nested
    final class ManyRoutes {
        /** Guards against memory that grows with each route that a catalog ever had. */
        @Test
        void leastRecentlyUsedRouteIsForgotten() {
            durations.record(ROUTE, LONG);
            for (int i = 0; i < 512; i++) {
                durations.record(new RouteId("r" + i), SHORT);
            }
            assertEquals(Optional.empty(), durations.longest(ROUTE));
        }
    }
}
