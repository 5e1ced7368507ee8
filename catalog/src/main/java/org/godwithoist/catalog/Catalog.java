package org.godwithoist.catalog;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the routes, services, workspaces and limits configured by operators. Immutable. A
 * route lookup needs at most one hash access per slash of the path, for any number of routes.
 */
public final class Catalog {
    private final long version;
    private final Map<String, Map<String, Route>> routesByHost;
    private final Map<ServiceId, ServiceSpec> services;
    private final ApiKeys apiKeys;
    private final RequestLimits limits;

    /**
     * Creates a catalog.
     *
     * @param version increases with each change, not necessarily by 1
     * @param routes routes; the last of several with the same host and prefix is used
     * @param apiKeys API keys of the workspaces
     */
    public Catalog(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            ApiKeys apiKeys,
            RequestLimits limits) {
        this.version = version;
        this.limits = limits;
        this.apiKeys = apiKeys;
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        for (Route r : routes) {
            byHost.computeIfAbsent(hostKey(r.host()), h -> new HashMap<>()).put(r.prefix(), r);
        }
        routesByHost = byHost;
        Map<ServiceId, ServiceSpec> byId = new HashMap<>();
        for (ServiceSpec s : services) {
            byId.put(s.id(), s);
        }
        this.services = byId;
    }

    /** Returns the version, which increases with each change. */
    public long version() {
        return version;
    }

    /** Returns the limits of requests and connections of callers. */
    public RequestLimits limits() {
        return limits;
    }

    /** Returns the number of routes; routes with the same host and prefix count once. */
    public int routeCount() {
        return routesByHost.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the longest time limit of a route; zero without routes. */
    public Duration longestTimeLimit() {
        return routesByHost.values().stream()
                .flatMap(routes -> routes.values().stream())
                .map(Route::timeout)
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /**
     * Returns the route with the longest prefix of the path; empty if no route matches.
     *
     * @param host host name in any case, with or without a port
     * @param path path of the request, without its query
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> routes = routesByHost.get(hostKey(host));
        if (routes == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route found = routes.get(path.substring(0, end + 1));
            if (found != null) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }

    /** Returns the service; empty if the catalog does not define it. */
    public Optional<ServiceSpec> service(ServiceId id) {
        return Optional.ofNullable(services.get(id));
    }

    /** Returns all services, in no particular order. */
    public Collection<ServiceSpec> services() {
        return services.values();
    }

    /** Returns whether requests need an API key, except on routes with public access. */
    public boolean requiresApiKey() {
        return apiKeys.required();
    }

    /** Returns the workspace of a key; empty if the key is unknown. */
    public Optional<Workspace> workspace(ApiKey key) {
        return apiKeys.workspace(key);
    }

    private static String hostKey(String host) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
