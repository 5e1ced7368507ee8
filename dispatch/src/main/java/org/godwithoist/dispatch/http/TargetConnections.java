package org.godwithoist.dispatch.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.Target;

/**
 * Pool of idle connections to targets. A target that has sent bytes on an idle connection is known
 * as one that sends unrequested responses from then on. Thread-safe.
 */
final class TargetConnections {
    private final Ticker ticker;
    private final Map<Target, ArrayDeque<TargetConnection>> idle = new HashMap<>();

    TargetConnections(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Takes the most recently used connection out of the pool, because targets close the least
     * recently used ones first. Closes those that cannot be reused; empty if none is left.
     */
    synchronized Optional<TargetConnection> acquire(Target target) {
        ArrayDeque<TargetConnection> list = idle.get(target);
        long now = ticker.nanos();
        while (list != null && !list.isEmpty()) {
            TargetConnection c = list.pollFirst();
            if (canBeReused(target, c, now)) {
                return Optional.of(c);
            }
            c.close();
        }
        return Optional.empty();
    }

    /**
     * Returns a connection, whose last response is complete, to the pool for the next request, or
     * closes it if it cannot be reused.
     */
    synchronized void release(Target target, TargetConnection connection, Duration keepAlive) {
        long now = ticker.nanos();
        connection.setIdleUntil(now + keepAlive.toNanos());
        if (!canBeReused(target, connection, now)) {
            connection.close();
            return;
        }
        idle.computeIfAbsent(target, t -> new ArrayDeque<>()).addFirst(connection);
    }

    /** Closes connections that cannot be reused. To be called about once a second. */
    synchronized void closeUnused() {
        long now = ticker.nanos();
        for (var entries = idle.entrySet().iterator(); entries.hasNext(); ) {
            var entry = entries.next();
            for (Iterator<TargetConnection> i = entry.getValue().iterator(); i.hasNext(); ) {
                TargetConnection c = i.next();
                if (!canBeReused(entry.getKey(), c, now)) {
                    c.close();
                    i.remove();
                }
            }
            if (entry.getValue().isEmpty()) {
                entries.remove();
            }
        }
    }

    private static boolean canBeReused(Target target, TargetConnection connection, long now) {
        if (connection.hasUnreadInput()) {
            target.recordUnrequestedResponse();
        }
        return target.permitsConnectionReuse() && connection.isUsable(now);
    }
}
