package org.godwithoist.targets;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Requests that wait for the first byte of their response from one target, and how long recent ones
 * waited. Changed by one thread at a time; snapshots may be read by any.
 */
final class ResponseWaits {
    /** Weight of the newest response in the exponentially weighted moving average of the wait. */
    private static final double NEW_LATENCY_WEIGHT = 0.3;

    private static final double LATENCY_HALF_LIFE_NANOS = Duration.ofMillis(1500).toNanos();
    private static final double NANOS_PER_MS = 1e6;

    /**
     * What recent requests waited.
     *
     * @param latencyMs average time to the first byte; 0 if there was no response
     * @param updatedAt time of the last response
     * @param oldestSentAt when the request that has waited longest was sent
     * @param pending whether a request waits
     */
    record Snapshot(double latencyMs, long updatedAt, long oldestSentAt, boolean pending) {
        /** Returns how long a request would wait for its first byte, in milliseconds. */
        double recentWaitMs(long now) {
            double decayed = latencyMs * Math.pow(0.5, (now - updatedAt) / LATENCY_HALF_LIFE_NANOS);
            return Math.max(decayed, pendingMs(now));
        }

        /** Returns a limit that {@link #recentWaitMs} does not exceed, and that costs less. */
        double maxWaitMs(long now) {
            return now - updatedAt < 0
                    ? Double.POSITIVE_INFINITY
                    : Math.max(latencyMs, pendingMs(now));
        }

        private double pendingMs(long now) {
            return pending ? (now - oldestSentAt) / NANOS_PER_MS : 0;
        }
    }

    private final Set<Target.PendingResponse> pending = new LinkedHashSet<>();
    private double latencyMs;
    private long latencyUpdatedAt;
    private boolean responded;
    private volatile Snapshot snapshot = new Snapshot(0, 0, 0, false);

    void add(Target.PendingResponse response) {
        pending.add(response);
        publish();
    }

    /** Ends the wait of a request; returns false if it did not wait any more. */
    boolean remove(Target.PendingResponse response) {
        boolean removed = pending.remove(response);
        publish();
        return removed;
    }

    /** Returns whether no request waits. */
    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Returns the number of requests that wait. */
    int size() {
        return pending.size();
    }

    /** Returns whether a response began within a time. */
    boolean hasRespondedWithin(Duration time, long now) {
        return responded && now - latencyUpdatedAt <= time.toNanos();
    }

    /** Returns whether a request has waited for longer than a time. */
    boolean isAnyOlderThan(Duration time, long now) {
        return !pending.isEmpty() && now - pending.iterator().next().sentAt() > time.toNanos();
    }

    /** Records the first byte of a response; returns how long it took, in milliseconds. */
    double responseStarted(Target.PendingResponse response, long now) {
        responded = true;
        latencyUpdatedAt = now;
        double ms = (now - response.sentAt()) / NANOS_PER_MS;
        latencyMs = latencyMs == 0 ? ms : latencyMs + NEW_LATENCY_WEIGHT * (ms - latencyMs);
        publish();
        return ms;
    }

    /** Returns the current values. */
    Snapshot snapshot() {
        return snapshot;
    }

    private void publish() {
        long oldestSentAt = pending.isEmpty() ? 0 : pending.iterator().next().sentAt();
        snapshot = new Snapshot(latencyMs, latencyUpdatedAt, oldestSentAt, !pending.isEmpty());
    }
}
