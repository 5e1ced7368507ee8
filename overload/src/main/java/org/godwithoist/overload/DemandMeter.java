package org.godwithoist.overload;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures the demand of the workspaces of one service at this daemon. By Little's law, the demand
 * in slots is the rate of arrivals times the time for which a request holds its slot; requests that
 * are refused count too. Not thread-safe.
 */
final class DemandMeter {
    /** Short enough that the share of a workspace that has gone expires within seconds. */
    private static final Duration CURRENT_WINDOW = Duration.ofSeconds(1);

    /** Long compared with bursts, so that a burst hardly raises the weight of its workspace. */
    private static final Duration USUAL_WINDOW = Duration.ofMinutes(1);

    /** Duration assumed before the first request has ended, in seconds. */
    private static final double INITIAL_HOLD_S = 0.2;

    private static final double NEW_HOLD_WEIGHT = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NEGLIGIBLE = 1e-3;

    private static final class Usage {
        final DecayingCount current;
        final DecayingCount usual;
        double holdSeconds;
        int present;
        int inProgress;

        Usage(double holdSeconds, long now, long usualNow) {
            this.holdSeconds = holdSeconds;
            current = new DecayingCount(CURRENT_WINDOW, now);
            usual = new DecayingCount(USUAL_WINDOW, usualNow);
        }
    }

    private final Map<WorkspaceKey, Usage> usages = new HashMap<>();
    private double holdSeconds = INITIAL_HOLD_S;
    private boolean hasHold;
    private boolean learning = true;

    /** Time during which the usual demand was learnt; it stands still while it is not. */
    private long usualNow;

    private long lastNow;

    DemandMeter(long now) {
        lastNow = now;
    }

    /**
     * Sets whether the usual demand is learnt. It is not while capacity is insufficient, because
     * refused requests that return, and the burst itself, are not the usual load.
     */
    void setLearning(boolean value, long now) {
        advance(now);
        learning = value;
    }

    private void advance(long now) {
        if (learning) {
            usualNow += Math.max(0, now - lastNow);
        }
        lastNow = now;
    }

    /** Counts the arrival of a request. */
    void arrived(WorkspaceKey key, long now) {
        advance(now);
        Usage u = usages.computeIfAbsent(key, k -> new Usage(holdSeconds, now, usualNow));
        u.present++;
        u.current.add(1, now);
        if (learning) {
            u.usual.add(1, usualNow);
        }
    }

    /** Counts a request that gets a slot. */
    void started(WorkspaceKey key) {
        usages.get(key).inProgress++;
    }

    /** Counts the departure of a request that got no slot. */
    void left(WorkspaceKey key) {
        usages.get(key).present--;
    }

    /** Counts the end of a request that got a slot. */
    void ended(WorkspaceKey key, long heldNanos) {
        Usage u = usages.get(key);
        u.present--;
        u.inProgress--;
        double seconds = heldNanos / NANOS_PER_SECOND;
        u.holdSeconds += NEW_HOLD_WEIGHT * (seconds - u.holdSeconds);
        holdSeconds = hasHold ? holdSeconds + NEW_HOLD_WEIGHT * (seconds - holdSeconds) : seconds;
        hasHold = true;
    }

    /** Returns the average time for which a request holds its slot, in seconds. */
    double holdSeconds() {
        return Math.max(NEGLIGIBLE, holdSeconds);
    }

    /** Returns the time for which requests of a workspace hold their slots, in seconds. */
    double holdSeconds(WorkspaceKey key) {
        Usage u = usages.get(key);
        return u == null ? holdSeconds() : Math.max(NEGLIGIBLE, u.holdSeconds);
    }

    /** Returns the demand of each workspace and forgets workspaces that have gone. */
    Map<WorkspaceKey, Demand> demand(long now) {
        advance(now);
        Map<WorkspaceKey, Demand> demand = new HashMap<>();
        usages.forEach((key, u) -> demand.put(key, demand(u, now)));
        demand.entrySet().removeIf(e -> isNegligible(e.getKey(), e.getValue()));
        usages.keySet().retainAll(demand.keySet());
        return demand;
    }

    private boolean isNegligible(WorkspaceKey key, Demand d) {
        return usages.get(key).present == 0 && d.current() < NEGLIGIBLE && d.usual() < NEGLIGIBLE;
    }

    private Demand demand(Usage u, long now) {
        double seconds = CURRENT_WINDOW.toNanos() / NANOS_PER_SECOND;
        double current = u.current.at(now) / seconds * u.holdSeconds;
        double usual = u.usual.at(usualNow) / usualSeconds() * u.holdSeconds;
        return new Demand(Math.max(current, u.present), usual, u.inProgress);
    }

    /**
     * Returns the time that the usual counts cover, which is shorter than their window after the
     * start of the daemon.
     */
    private double usualSeconds() {
        double window = USUAL_WINDOW.toNanos() / NANOS_PER_SECOND;
        double covered = window * (1 - Math.exp(-usualNow / NANOS_PER_SECOND / window));
        return Math.max(1, covered);
    }
}
