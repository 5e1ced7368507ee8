package org.godwithoist.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.godwithoist.catalog.RouteId;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.time.Ticker;

/**
 * Remembers which services state the ends of their successful responses, and how large these are.
 * Where one has done so lately, a response without a stated end is unusual. Kept by route, because
 * a service may frame the bodies of different paths in different ways. Thread-safe.
 */
public final class StatedEnds {
    /** Time for which one stated end makes others expected. */
    private static final Duration MEMORY = Duration.ofSeconds(60);

    /** Time for which sizes are collected; they are used for as long again, since bodies change. */
    private static final Duration SIZES_PERIOD = Duration.ofMinutes(5);

    private record Key(ServiceId service, RouteId route) {}

    /**
     * Sizes that were collected in a period.
     *
     * @param start instant of the ticker, in nanoseconds
     */
    private record Period(long start, BodySizes sizes) {
        Period with(long bytes) {
            return new Period(start, sizes.with(bytes));
        }

        /** Returns the sizes unless they are outdated. */
        BodySizes sizesAt(long now) {
            return now - start < 2 * SIZES_PERIOD.toNanos() ? sizes : BodySizes.NONE;
        }
    }

    /**
     * What is known of the responses of a route or service.
     *
     * @param lastStatedAt instant of the ticker, in nanoseconds
     */
    private record Known(long lastStatedAt, Period current, Period previous) {
        /** Adds a size to what is known of a route or service; null for nothing. */
        static Known add(Known known, long bytes, long now) {
            Period empty = new Period(now, BodySizes.NONE);
            return known == null
                    ? new Known(now, empty.with(bytes), empty)
                    : known.with(bytes, now);
        }

        private Known with(long bytes, long now) {
            return now - current.start() < SIZES_PERIOD.toNanos()
                    ? new Known(now, current.with(bytes), previous)
                    : new Known(now, new Period(now, BodySizes.NONE).with(bytes), current);
        }

        BodySizes sizes(long now) {
            return current.sizesAt(now).merge(previous.sizesAt(now));
        }
    }

    private final Ticker ticker;
    private final Map<Key, Known> routes = new ConcurrentHashMap<>();
    private final Map<ServiceId, Known> services = new ConcurrentHashMap<>();

    /** Instants of the ticker at which long bodies without a stated end were seen. */
    private final Map<Key, Long> longBodies = new ConcurrentHashMap<>();

    /** Creates a memory without any service. */
    public StatedEnds(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Records that a target of a service has stated the end of a successful response.
     *
     * @param bytes size of the body
     */
    public void record(ServiceId service, RouteId route, long bytes) {
        long now = ticker.nanos();
        routes.compute(new Key(service, route), (key, k) -> Known.add(k, bytes, now));
        services.compute(service, (key, k) -> Known.add(k, bytes, now));
    }

    /** Returns whether a response of a service that does not state its end is unusual. */
    public boolean areUsual(ServiceId service, RouteId route) {
        Known k = routes.get(new Key(service, route));
        return k != null && ticker.nanos() - k.lastStatedAt() < MEMORY.toNanos();
    }

    /**
     * Records that two targets have sent long bodies without a stated end for the same request, so
     * that such bodies are usual for the route.
     */
    void recordLongBody(ServiceId service, RouteId route) {
        longBodies.put(new Key(service, route), ticker.nanos());
    }

    /** Returns whether long bodies without a stated end are usual for a route. */
    boolean areLongBodiesKnown(ServiceId service, RouteId route) {
        Long at = longBodies.get(new Key(service, route));
        return at != null && ticker.nanos() - at < MEMORY.toNanos();
    }

    /** Returns what is known of a route, for the log. */
    RouteResponses known(ServiceId service, RouteId route) {
        return new RouteResponses(areUsual(service, route), sizes(service, route).count());
    }

    /** Returns the known sizes of the successful bodies of a route. */
    BodySizes sizes(ServiceId service, RouteId route) {
        return sizes(routes.get(new Key(service, route)));
    }

    /**
     * Returns whether a body that may go on is longer than the known ones of its route, or of its
     * service if too few of the route are known.
     */
    boolean isTooLong(ServiceId service, RouteId route, long bytes) {
        BodySizes ofRoute = sizes(service, route);
        BodySizes sizes = ofRoute.areKnown() ? ofRoute : sizes(services.get(service));
        return sizes.isTooLong(bytes);
    }

    private BodySizes sizes(Known known) {
        return known == null ? BodySizes.NONE : known.sizes(ticker.nanos());
    }
}
