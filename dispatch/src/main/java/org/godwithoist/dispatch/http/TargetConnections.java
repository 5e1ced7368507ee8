package org.godwithoist.dispatch.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.targets.Target;

/** Pool of idle connections to targets. Thread-safe. */
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
            if (c.isUsable(now)) {
                return Optional.of(c);
            }
            c.close();
        }
        return Optional.empty();
    }

    /** Returns a connection to the pool for the next request. */
    synchronized void release(Target target, TargetConnection connection, Duration keepAlive) {
        if (target.isRemoved() || target.isLeaving() || keepAlive.isZero()) {
            connection.close();
            return;
        }
        connection.setIdleUntil(ticker.nanos() + keepAlive.toNanos());
        idle.computeIfAbsent(target, t -> new ArrayDeque<>()).addFirst(connection);
    }

    /** Closes connections that cannot be reused. To be called about once a second. */
    synchronized void closeUnused() {
        long now = ticker.nanos();
        for (var entries = idle.entrySet().iterator(); entries.hasNext(); ) {
            var entry = entries.next();
            boolean unused = entry.getKey().isRemoved() || entry.getKey().isLeaving();
            for (Iterator<TargetConnection> i = entry.getValue().iterator(); i.hasNext(); ) {
                TargetConnection c = i.next();
                if (unused || !c.isUsable(now)) {
                    c.close();
                    i.remove();
                }
            }
            if (entry.getValue().isEmpty()) {
                entries.remove();
            }
        }
    }
}
