package org.godwithoist.edge;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.http.CallerConnection;
import org.godwithoist.dispatch.http.ConnectionLimit;
import org.godwithoist.dispatch.http.ConnectionListener;
import org.godwithoist.dispatch.http.IdleConnections;
import org.godwithoist.dispatch.http.StalledConnections;
import org.godwithoist.settings.EdgeSettings;

/**
 * The listeners of a daemon, which are opened one after the other, and the limits of their
 * connections. Opened and closed by one task; the limits are thread-safe.
 */
final class EdgeListeners implements Closeable {
    private final EdgeSettings settings;
    private final Supervisor supervisor;
    private final IdleConnections idleCallers;
    private final IdleConnections idleStatusConnections;
    private final StalledConnections stalledStatusConnections;
    private final Map<ConnectionLimit.Kind, ConnectionLimit> limits =
            new EnumMap<>(ConnectionLimit.Kind.class);
    private ConnectionListener callers;
    private ConnectionListener readiness;
    private ConnectionListener metrics;
    private ConnectionListener relay;
    private Optional<ConnectionListener> daemons = Optional.empty();

    /**
     * Creates an instance that listens to nothing yet.
     *
     * @param maxHeapBytes maximum size of the heap, which limits the connections
     * @param stalledCallers connections of callers that give way to new ones
     */
    EdgeListeners(
            EdgeSettings settings,
            long maxHeapBytes,
            StalledConnections stalledCallers,
            Supervisor supervisor,
            Ticker ticker) {
        this.settings = settings;
        this.supervisor = supervisor;
        idleCallers = new IdleConnections(ticker);
        idleStatusConnections = new IdleConnections(ticker);
        stalledStatusConnections = StalledConnections.ofHeap(maxHeapBytes);
        limits.put(
                ConnectionLimit.Kind.CALLER,
                ConnectionLimit.of(
                        ConnectionLimit.Kind.CALLER, maxHeapBytes, idleCallers, stalledCallers));
        limits.put(
                ConnectionLimit.Kind.STATUS,
                ConnectionLimit.of(
                        ConnectionLimit.Kind.STATUS,
                        maxHeapBytes,
                        idleStatusConnections,
                        stalledStatusConnections));
        limits.put(
                ConnectionLimit.Kind.RELAY,
                ConnectionLimit.of(
                        ConnectionLimit.Kind.RELAY, maxHeapBytes, new IdleConnections(ticker)));
        limits.put(
                ConnectionLimit.Kind.DAEMON,
                ConnectionLimit.of(
                        ConnectionLimit.Kind.DAEMON, maxHeapBytes, new IdleConnections(ticker)));
    }

    /** Returns the limits of the connections, by kind. */
    Map<ConnectionLimit.Kind, ConnectionLimit> limits() {
        return limits;
    }

    /** Returns the idle connections of callers. */
    IdleConnections idleCallers() {
        return idleCallers;
    }

    /** Returns the idle connections to the status endpoints. */
    IdleConnections idleStatusConnections() {
        return idleStatusConnections;
    }

    /** Returns the connections to the status endpoints that may give way to new ones. */
    StalledConnections stalledStatusConnections() {
        return stalledStatusConnections;
    }

    /**
     * Opens the listener for members of the daemon's group. They connect to the TCP port with the
     * same number as the UDP port. If the system chooses the ports, the two numbers differ and
     * members cannot use this daemon's relay.
     */
    void openRelay(Consumer<Socket> server) throws IOException {
        relay =
                open(
                        settings.peers(),
                        "relay",
                        ConnectionLimit.Kind.RELAY,
                        ConnectionListener.Handlers.closing(server));
    }

    /** Opens the listener for callers. */
    void openCallers(CallerConnection.Dependencies dependencies) throws IOException {
        callers =
                open(
                        settings.frontend(),
                        "caller",
                        ConnectionLimit.Kind.CALLER,
                        new ConnectionListener.Handlers(
                                s -> CallerConnection.serve(s, dependencies),
                                s -> CallerConnection.refuse(s, dependencies)));
    }

    /**
     * Opens the listener for requests that other daemons pass on.
     *
     * @param isDaemon whether another daemon has an IP address
     * @throws IOException if the address cannot be bound
     */
    void openDaemons(
            Endpoint address,
            Predicate<String> isDaemon,
            CallerConnection.Dependencies dependencies)
            throws IOException {
        daemons =
                Optional.of(
                        open(
                                address,
                                "daemon",
                                ConnectionLimit.Kind.DAEMON,
                                ConnectionListener.Handlers.closing(
                                        s -> serveDaemon(s, isDaemon, dependencies))));
    }

    private static void serveDaemon(
            Socket socket, Predicate<String> isDaemon, CallerConnection.Dependencies dependencies) {
        if (isDaemon.test(socket.getInetAddress().getHostAddress())) {
            CallerConnection.serve(socket, dependencies);
        } else {
            ConnectionListener.closeSocket(socket);
        }
    }

    /**
     * Opens the listeners of the status endpoints.
     *
     * @param metricsAddress listen address of the metrics endpoint
     */
    void openStatus(Consumer<Socket> server, Endpoint metricsAddress) throws IOException {
        ConnectionListener.Handlers handlers = ConnectionListener.Handlers.closing(server);
        readiness = open(settings.readiness(), "ready", ConnectionLimit.Kind.STATUS, handlers);
        metrics = open(metricsAddress, "metrics", ConnectionLimit.Kind.STATUS, handlers);
    }

    private ConnectionListener open(
            Endpoint address,
            String name,
            ConnectionLimit.Kind kind,
            ConnectionListener.Handlers handlers)
            throws IOException {
        return ConnectionListener.open(address, name, supervisor, limits.get(kind), handlers);
    }

    /** Returns the address for callers, with the actual port if it was chosen by the system. */
    Endpoint callerAddress() {
        return new Endpoint(settings.frontend().ip(), callers.port());
    }

    /** Returns the address of the readiness endpoint, with the actual port. */
    Endpoint readinessAddress() {
        return new Endpoint(settings.readiness().ip(), readiness.port());
    }

    /** Returns the address of the metrics endpoint, with the actual port. */
    Endpoint metricsAddress() {
        return new Endpoint(settings.readiness().ip(), metrics.port());
    }

    /** Returns the listener for callers. */
    ConnectionListener callers() {
        return callers;
    }

    /** Closes all listeners. Open connections are not closed. */
    @Override
    public void close() throws IOException {
        callers.close();
        readiness.close();
        metrics.close();
        relay.close();
        if (daemons.isPresent()) {
            daemons.get().close();
        }
    }
}
