package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.catalog.RouteId;

/**
 * Durations of the latest complete streams of each route. They tell how long the next stream may
 * take, for which its timeout is only the upper bound. Thread-safe.
 */
final class StreamDurations {
    /** Number of streams of a route that are kept; a single long one is forgotten after as many. */
    private static final int STREAMS_PER_ROUTE = 64;

    /** Number of routes that are kept, because changes of the catalog bring ever new ones. */
    private static final int MAX_ROUTES = 512;

    private final Map<RouteId, ArrayDeque<Duration>> byRoute =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<RouteId, ArrayDeque<Duration>> eldest) {
                    return size() > MAX_ROUTES;
                }
            };

    /** Records the time from the last byte of a request to the end of its complete stream. */
    synchronized void record(RouteId route, Duration duration) {
        ArrayDeque<Duration> durations = byRoute.computeIfAbsent(route, r -> new ArrayDeque<>());
        if (durations.size() == STREAMS_PER_ROUTE) {
            durations.removeFirst();
        }
        durations.addLast(duration);
    }

    /** Returns the longest of the latest streams of a route; empty if there was none. */
    synchronized Optional<Duration> longest(RouteId route) {
        ArrayDeque<Duration> durations = byRoute.get(route);
        return durations == null ? Optional.empty() : durations.stream().max(Duration::compareTo);
    }
}
