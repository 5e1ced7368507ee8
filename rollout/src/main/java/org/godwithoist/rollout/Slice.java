package org.godwithoist.rollout;

import java.util.HashMap;
import java.util.Map;
import org.godwithoist.catalog.RouteId;

/**
 * The part of the chats whose requests go to the canary. All daemons use the same hash, so a chat
 * gets the same answer from each of them, and the sum of their parts is the share.
 */
final class Slice {
    static final Slice NOTHING = new Slice(0, 0, Map.of());

    /**
     * Part of a trial's share that is divided evenly between the routes, so that a route with
     * little traffic gets evidence too. The rest follows the traffic; the sum stays the share.
     */
    private static final double EVEN_PART = 0.75;

    /** Largest share of a route on trial, so that the baseline keeps responses to compare with. */
    private static final double MAX_ROUTE_SHARE = 0.4;

    /** Requests from which the distribution of the traffic over the routes is known. */
    private static final long MIN_REQUESTS = 50;

    /** A route with fewer requests gets no larger share than a route with this part of them. */
    private static final double MIN_TRAFFIC = 0.002;

    private static final double HASH_UNIT = 0x1p-53;
    private static final int HASH_SHIFT = 11;

    private final long salt;
    private final double share;
    private final Map<RouteId, Double> routeShares;

    private Slice(long salt, double share, Map<RouteId, Double> routeShares) {
        this.salt = salt;
        this.share = share;
        this.routeShares = routeShares;
    }

    /** Returns the slice of a share, given how the requests were distributed so far. */
    static Slice of(OrderId order, double share, boolean trial, Evidence total) {
        // Another order takes other chats, so that the same ones are not always the first.
        long salt = order.version() ^ Long.rotateLeft(order.era(), Integer.SIZE);
        boolean even = trial && total.sent() >= MIN_REQUESTS;
        return new Slice(salt, share, even ? routeShares(share, total) : Map.of());
    }

    /** Returns whether a chat's requests on a route go to the canary. */
    boolean contains(RouteId route, long chatHash) {
        return contains(routeShares.getOrDefault(route, share), chatHash);
    }

    /** Returns whether a chat's requests go to the canary, whatever their route. */
    boolean contains(long chatHash) {
        return contains(share, chatHash);
    }

    /** Returns whether it contains all chats. */
    boolean isWhole() {
        return share == 1;
    }

    private boolean contains(double part, long chatHash) {
        return part > 0 && (mixed(chatHash ^ salt) >>> HASH_SHIFT) * HASH_UNIT < part;
    }

    private static Map<RouteId, Double> routeShares(double share, Evidence total) {
        Map<RouteId, Double> result = new HashMap<>();
        double all = total.sent();
        int routes = total.routes().size();
        for (RouteId route : total.routes()) {
            double traffic = Math.max(MIN_TRAFFIC, total.sent(route) / all);
            double factor = 1 - EVEN_PART + EVEN_PART / (routes * traffic);
            result.put(route, Math.min(share * factor, Math.max(share, MAX_ROUTE_SHARE)));
        }
        return result;
    }

    /** Finalizer of SplitMix64; makes the slice independent of other uses of the hash. */
    private static long mixed(long hash) {
        long z = hash + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
