package org.godwithoist.rollout;

import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import org.godwithoist.catalog.RouteId;

/**
 * Immutable counts per route and release since an order. A message carries the counts since the
 * order, not their changes, so that a lost message loses nothing.
 */
public final class Evidence {
    /**
     * Routes that a message may carry: with two releases of 21 counts each, of mostly 1 or 2 bytes,
     * these fit into a packet of 1,400 bytes if the codec shortens long route ids.
     */
    public static final int MAX_ROUTES = 8;

    /** Takes the counts of the routes beyond {@link #MAX_ROUTES}. */
    public static final RouteId OTHER_ROUTES = new RouteId("*");

    /** Evidence without requests. */
    public static final Evidence NONE = new Evidence(Map.of());

    private final Map<RouteId, Map<Release, Counts>> routes;

    private Evidence(Map<RouteId, Map<Release, Counts>> routes) {
        this.routes = routes;
    }

    /** Returns evidence of one release on one route. */
    public static Evidence of(RouteId route, Release release, Counts counts) {
        return counts.equals(Counts.NONE)
                ? NONE
                : new Evidence(Map.of(route, Collections.singletonMap(release, counts)));
    }

    /** Returns the routes that have counts. */
    public Set<RouteId> routes() {
        return Collections.unmodifiableSet(routes.keySet());
    }

    /** Returns the counts of a release on a route. */
    public Counts counts(RouteId route, Release release) {
        return routes.getOrDefault(route, Map.of()).getOrDefault(release, Counts.NONE);
    }

    /** Returns the counts of a release on all routes. */
    public Counts total(Release release) {
        return routes.keySet().stream()
                .map(route -> counts(route, release))
                .reduce(Counts.NONE, Counts::plus);
    }

    /** Returns the requests sent to both releases on a route. */
    public long sent(RouteId route) {
        return counts(route, Release.BASELINE).sent() + counts(route, Release.CANARY).sent();
    }

    /** Returns the requests sent to both releases on all routes. */
    public long sent() {
        return routes.keySet().stream().mapToLong(this::sent).sum();
    }

    /** Returns the sum of both. */
    public Evidence plus(Evidence other) {
        return combined(other, Counts::plus);
    }

    /** Returns what was added since earlier evidence; no count becomes negative. */
    public Evidence minus(Evidence earlier) {
        return combined(earlier, Counts::minus);
    }

    /**
     * Returns the larger of each two counts. A route that only one side names counts among the
     * others if the other side has these, so that no request counts twice.
     */
    public Evidence largest(Evidence other) {
        Evidence one = namingOnlyRoutesOf(other);
        Evidence two = other.namingOnlyRoutesOf(this);
        return one.plus(two.minus(one));
    }

    /** Returns the evidence without names that bounded evidence counts together. */
    private Evidence namingOnlyRoutesOf(Evidence other) {
        if (!other.routes.containsKey(OTHER_ROUTES)) {
            return this;
        }
        Evidence result = NONE;
        for (RouteId route : routes.keySet()) {
            RouteId name = other.routes.containsKey(route) ? route : OTHER_ROUTES;
            for (Release release : Release.values()) {
                result = result.plus(of(name, release, counts(route, release)));
            }
        }
        return result;
    }

    /**
     * Returns the evidence with at most {@value #MAX_ROUTES} routes. The routes with the fewest
     * requests are counted together as {@link #OTHER_ROUTES}.
     */
    public Evidence bounded() {
        if (routes.size() <= MAX_ROUTES) {
            return this;
        }
        Comparator<RouteId> byTraffic =
                Comparator.<RouteId, Boolean>comparing(OTHER_ROUTES::equals)
                        .thenComparing(Comparator.<RouteId>comparingLong(this::sent).reversed())
                        .thenComparing(RouteId::value);
        Evidence kept = NONE;
        int count = 0;
        for (RouteId route : routes.keySet().stream().sorted(byTraffic).toList()) {
            RouteId name = ++count < MAX_ROUTES ? route : OTHER_ROUTES;
            for (Release release : Release.values()) {
                kept = kept.plus(of(name, release, counts(route, release)));
            }
        }
        return kept;
    }

    private Evidence combined(Evidence other, BinaryOperator<Counts> operator) {
        Map<RouteId, Map<Release, Counts>> result = new LinkedHashMap<>();
        Set<RouteId> all = new LinkedHashSet<>(routes.keySet());
        all.addAll(other.routes.keySet());
        for (RouteId route : all) {
            Map<Release, Counts> releases = new EnumMap<>(Release.class);
            for (Release release : Release.values()) {
                Counts counts =
                        operator.apply(counts(route, release), other.counts(route, release));
                if (!counts.equals(Counts.NONE)) {
                    releases.put(release, counts);
                }
            }
            if (!releases.isEmpty()) {
                result.put(route, releases);
            }
        }
        return new Evidence(result);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Evidence o && routes.equals(o.routes);
    }

    @Override
    public int hashCode() {
        return routes.hashCode();
    }

    @Override
    public String toString() {
        Map<String, Object> sorted = new TreeMap<>();
        routes.forEach((route, releases) -> sorted.put(route.value(), releases));
        return sorted.toString();
    }
}
