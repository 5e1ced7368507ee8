package org.godwithoist.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps account of the slot time that each workspace uses at this daemon against its share. A
 * workspace with credit is served before those without; one without gets what the others leave, and
 * its debt is bounded, so that capacity that nobody else wanted is not held against it. Not
 * thread-safe.
 */
final class ShareCredits {
    /**
     * Time of its share that a workspace can save up, or owe, in seconds. With a longer one, an
     * urgent workspace could displace others at the start of an overload.
     */
    private static final double BURST_S = 0.1;

    /** Requests that a workspace can save up, whatever its share. */
    private static final double BURST_REQUESTS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<WorkspaceKey, Double> credits = new HashMap<>();
    private Map<WorkspaceKey, Double> parts = Map.of();
    private long updatedAt;

    ShareCredits(long now) {
        updatedAt = now;
    }

    /**
     * Adds the credit since the last call, then replaces the shares. Workspaces without a share are
     * forgotten.
     *
     * @param next this daemon's part of each workspace's share, in slots
     * @param meter tells how long requests hold their slots
     */
    void update(Map<WorkspaceKey, Double> next, DemandMeter meter, long now) {
        double seconds = Math.max(0, now - updatedAt) / NANOS_PER_SECOND;
        credits.keySet().retainAll(next.keySet());
        next.forEach(
                (key, part) -> {
                    double bound = bound(part, meter.holdSeconds(key));
                    double earned = parts.getOrDefault(key, part) * seconds;
                    double credit = credits.getOrDefault(key, bound) + earned;
                    credits.put(key, Math.clamp(credit, -bound, bound));
                });
        parts = next;
        updatedAt = now;
    }

    private static double bound(double part, double hold) {
        return Math.max(part * BURST_S, BURST_REQUESTS * hold);
    }

    /** Forgets all credits and debts. */
    void clear() {
        credits.clear();
        parts = Map.of();
    }

    /** Charges slot time in seconds; a negative amount is returned. */
    void charge(WorkspaceKey key, double slotSeconds) {
        credits.computeIfPresent(key, (k, credit) -> credit - slotSeconds);
    }

    /**
     * Returns whether the next request of a workspace is within its share.
     *
     * @param ahead slot time of its requests that come before, in seconds
     */
    boolean covers(WorkspaceKey key, double ahead) {
        Double credit = credits.get(key);
        return credit == null || credit > ahead;
    }

    /** Returns whether a workspace has a share. */
    boolean knows(WorkspaceKey key) {
        return credits.containsKey(key);
    }

    /** Returns the number of workspaces that use more than their shares. */
    int overShare() {
        return (int) credits.values().stream().filter(c -> c <= 0).count();
    }
}
