package org.godwithoist.dispatch.http;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.godwithoist.core.time.Ticker;

/**
 * Connections without a request in progress. A daemon that stops closes those of callers, so that
 * the next request of each caller goes to another daemon. Thread-safe.
 */
public final class IdleConnections {
    private final Ticker ticker;

    /** The times at which connections became idle, in their order. */
    private final Map<ReadAheadSocket, Long> idleSince = new LinkedHashMap<>();

    private volatile boolean closed;

    /** Creates an instance without connections. */
    public IdleConnections(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Adds a connection whose last request has ended. */
    public void add(ReadAheadSocket socket) {
        put(socket);
        if (closed) {
            closeAll();
        }
    }

    private synchronized void put(ReadAheadSocket socket) {
        idleSince.put(socket, ticker.nanos());
    }

    /**
     * Removes a connection to serve a request on it.
     *
     * @return false if the connection was closed as idle; a request on it must not be forwarded
     */
    public synchronized boolean claim(ReadAheadSocket socket) {
        return idleSince.remove(socket) != null;
    }

    /** Returns whether all connections are closed or have a request in progress. */
    public synchronized boolean isEmpty() {
        return idleSince.isEmpty();
    }

    /** Closes the connections that are idle now, and from now on each that becomes idle. */
    public void close() {
        closed = true;
        closeAll();
    }

    /** Closes the connections that are idle now and returns their number. */
    public int closeAll() {
        int closed = 0;
        for (ReadAheadSocket s : copy()) {
            if (s.isIdle() && claim(s)) {
                s.close();
                closed++;
            }
        }
        return closed;
    }

    /**
     * Closes the connections that have been idle for a time and returns their number.
     *
     * @param minIdle time for which a connection has to be idle to be closed; the caller of one
     *     that was just opened is about to send its request
     */
    public int closeIdleFor(Duration minIdle) {
        int closed = 0;
        while (closeLongestIdle(minIdle)) {
            closed++;
        }
        return closed;
    }

    /**
     * Closes the connection that has been idle for longest.
     *
     * @param minIdle time for which a connection has to be idle to be closed
     * @return false if there is none
     */
    boolean closeLongestIdle(Duration minIdle) {
        Optional<ReadAheadSocket> longestIdle = claimLongestIdle(minIdle);
        longestIdle.ifPresent(ReadAheadSocket::close);
        return longestIdle.isPresent();
    }

    private synchronized Optional<ReadAheadSocket> claimLongestIdle(Duration minIdle) {
        long now = ticker.nanos();
        for (Map.Entry<ReadAheadSocket, Long> e : idleSince.entrySet()) {
            if (now - e.getValue() < minIdle.toNanos()) {
                return Optional.empty();
            }
            ReadAheadSocket socket = e.getKey();
            if (socket.isIdle()) {
                idleSince.remove(socket);
                return Optional.of(socket);
            }
        }
        return Optional.empty();
    }

    private synchronized List<ReadAheadSocket> copy() {
        return List.copyOf(idleSince.keySet());
    }
}
