package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.time.Ticker;

/**
 * Remembers which services state the ends of their successful responses. Where one has done so
 * lately, a response without a stated end is unusual. Kept by route, because a service may frame
 * the bodies of different paths in different ways. Thread-safe.
 */
public final class StatedEnds {
    /** Time for which one stated end makes others expected. */
    private static final Duration MEMORY = Duration.ofSeconds(60);

    private record Key(ServiceId service, RouteId route) {}

    private final Ticker ticker;
    private final Map<Key, Long> lastStatedAt = new ConcurrentHashMap<>();

    /** Creates a memory without any service. */
    public StatedEnds(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Records that a target of a service has stated the end of a successful response. */
    public void record(ServiceId service, RouteId route) {
        lastStatedAt.put(new Key(service, route), ticker.nanos());
    }

    /** Returns whether a response of a service that does not state its end is unusual. */
    public boolean areUsual(ServiceId service, RouteId route) {
        Long at = lastStatedAt.get(new Key(service, route));
        return at != null && ticker.nanos() - at < MEMORY.toNanos();
    }
}
