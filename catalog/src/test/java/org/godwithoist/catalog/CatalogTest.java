package org.godwithoist.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link Catalog}, {@link CatalogState} and {@link Route}. */
final class CatalogTest {
    private static Route route(String id, String prefix, WeightedService... services) {
        return new Route(
                new RouteId(id),
                "shop.example",
                prefix,
                RouteKind.IDEMPOTENT,
                false,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ZERO,
                0,
                List.of(services),
                2,
                false,
                false);
    }

    private static WeightedService service(String id, int weight) {
        return new WeightedService(new ServiceId(id), weight);
    }

    private static Catalog catalog(long version, Route... routes) {
        return new Catalog(
                version, List.of(routes), List.of(), ApiKeys.NOT_REQUIRED, RequestLimits.DEFAULT);
    }

    private static Optional<String> findRoute(Catalog catalog, String host, String path) {
        return catalog.route(host, path).map(r -> r.id().value());
    }

    @Nested
    final class RouteLookup {
        private final Catalog catalog =
                catalog(
                        1,
                        route("short", "/a/", service("s", 1)),
                        route("long", "/a/b/", service("s", 1)));

        /** Guards against a request that is matched to a route with a shorter prefix. */
        @Test
        void longestPrefixMatches() {
            assertEquals(Optional.of("long"), findRoute(catalog, "shop.example", "/a/b/c"));
            assertEquals(Optional.of("short"), findRoute(catalog, "shop.example", "/a/x/b/"));
            assertEquals(Optional.of("long"), findRoute(catalog, "SHOP.example:80", "/a/b/"));
        }

        /** Guards against a prefix that matches in the middle of a path segment. */
        @Test
        void otherPathsAndHostsHaveNoRoute() {
            assertEquals(Optional.empty(), findRoute(catalog, "shop.example", "/ab/"));
            assertEquals(Optional.empty(), findRoute(catalog, "shop.example", "/a"));
            assertEquals(Optional.empty(), findRoute(catalog, "other.example", "/a/b/"));
        }
    }

    @Nested
    final class TrafficSplit {
        /** Guards against a traffic split that ignores the weights. */
        @Test
        void requestsFollowTheWeights() {
            Route split = route("r", "/", service("most", 90), service("few", 10));
            int few = 0;
            for (int hash = 0; hash < 1000; hash++) {
                few += split.serviceFor(hash).value().equals("few") ? 1 : 0;
            }
            assertEquals(100, few);
        }

        /** Guards against a route that cannot process any request. */
        @Test
        void routeWithoutAWeightIsRejected() {
            assertThrows(IllegalArgumentException.class, () -> route("r", "/", service("none", 0)));
        }
    }

    /** Scenario: configuration versions in quick succession ({@code config_storm}). */
    @Nested
    final class Versions {
        /** Guards against a delayed store response that reverts the daemon to an older version. */
        @Test
        void olderCatalogIsRejected() {
            CatalogState state = new CatalogState();
            assertTrue(state.updateIfNewer(catalog(7)));
            assertFalse(state.updateIfNewer(catalog(5)));
            assertFalse(state.updateIfNewer(catalog(7)));
            assertEquals(7, state.current().orElseThrow().version());
        }
    }
}
