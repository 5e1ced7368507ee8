package org.godwithoist.rollout.fleet;

import java.nio.charset.StandardCharsets;
import org.godwithoist.catalog.RouteId;

/** Names of routes in evidence, which travels in messages of bounded size. */
public final class RouteNames {
    /** Longer names are shortened; all daemons shorten them in the same way. */
    public static final int MAX_BYTES = 24;

    private static final int SHORTENED_LENGTH = 12;

    private RouteNames() {}

    /** Returns the name of a route in evidence. */
    public static RouteId shortened(RouteId route) {
        if (route.value().getBytes(StandardCharsets.UTF_8).length <= MAX_BYTES) {
            return route;
        }
        String ascii = route.value().replaceAll("[^ -~]", "?");
        String start = ascii.substring(0, Math.min(SHORTENED_LENGTH, ascii.length()));
        return new RouteId(start + "#" + Integer.toHexString(route.value().hashCode()));
    }
}
