package org.godwithoist.dispatch.http;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.catalog.ServiceSpec;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.Attempt;
import org.godwithoist.dispatch.AttemptOutcome;
import org.godwithoist.dispatch.AttemptResult;
import org.godwithoist.dispatch.CallerResponse;
import org.godwithoist.dispatch.Recipient;
import org.godwithoist.dispatch.TargetGateway;
import org.godwithoist.dispatch.TargetPresence;
import org.godwithoist.quarantine.SuspectId;
import org.godwithoist.quarantine.WaitingRequests;
import org.godwithoist.targets.Target;

/** Sends requests to targets over HTTP/1.1 and pools the connections. Thread-safe. */
public final class HttpTargetGateway implements TargetGateway {
    /** A target that does not accept a connection within this time counts as unreachable. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    private final Dialect dialect;
    private final Ticker ticker;
    private final Consumer<Target> onLeaving;
    private final WaitingRequests waitingRequests;
    private final TargetConnections connections;
    private final PresenceCheck presenceCheck;
    private final Set<TargetExchange> exchanges = ConcurrentHashMap.newKeySet();
    private volatile boolean stopped;

    /**
     * Creates a gateway with an empty connection pool.
     *
     * @param onLeaving receives each target that states in a response that it is leaving
     * @param waitingRequests receives each request until its response begins
     * @param services returns the configured service with an id; empty if there is none
     */
    public HttpTargetGateway(
            Dialect dialect,
            Consumer<Target> onLeaving,
            WaitingRequests waitingRequests,
            Function<ServiceId, Optional<ServiceSpec>> services,
            Ticker ticker) {
        this.dialect = dialect;
        this.onLeaving = onLeaving;
        this.waitingRequests = waitingRequests;
        this.ticker = ticker;
        connections = new TargetConnections(ticker);
        presenceCheck = new PresenceCheck(dialect, services, CONNECT_TIMEOUT, ticker);
    }

    /** Closes pooled connections that cannot be reused. To be called about once a second. */
    public void closeUnused() {
        connections.closeUnused();
    }

    /**
     * Takes back the requests of whose responses nothing was sent to their callers, so that these
     * callers get an answer before the process ends.
     */
    public void withdrawAll() {
        exchanges.forEach(TargetExchange::withdrawUnforwarded);
    }

    /**
     * Ends the sending of requests to targets, also of repeats, and withdraws the requests as in
     * {@link #withdrawAll}.
     */
    public void stop() {
        stopped = true;
        withdrawAll();
    }

    /** Ends all requests, also in the middle of their responses. */
    public void abortAll() {
        exchanges.forEach(TargetExchange::abort);
    }

    @Override
    public AttemptResult attempt(Attempt attempt, CallerResponse response) {
        if (stopped) {
            return AttemptResult.of(
                    AttemptOutcome.NOT_SENT, OptionalLong.empty(), "the daemon is stopping");
        }
        ConnectionLease lease;
        try {
            lease = new ConnectionLease(acquireOrOpen(attempt));
        } catch (IOException e) {
            return AttemptResult.of(
                    AttemptOutcome.UNREACHABLE,
                    OptionalLong.empty(),
                    "connection failed: " + e.getMessage());
        }
        return run(attempt, response, lease);
    }

    private AttemptResult run(Attempt attempt, CallerResponse response, ConnectionLease lease) {
        Target target = attempt.target();
        EndConfirmation endConfirmation = new EndConfirmation(delay -> presence(attempt, delay));
        TargetExchange exchange =
                new TargetExchange(
                        attempt, response, lease, dialect, onLeaving, endConfirmation, ticker);
        List<SuspectId> suspects = attempt.request().suspectIds();
        WaitingRequests.Entry waiting = waitingRequests.add(suspects, exchange::withdraw);
        try {
            response.onDisconnect(lease::close);
            exchanges.add(exchange);
            if (stopped) {
                // The withdrawal of all exchanges may have been before this one was added.
                exchange.withdrawUnforwarded();
            }
            return exchange.run();
        } finally {
            waiting.close();
            exchanges.remove(exchange);
            response.onDisconnect(null);
            endLease(lease, exchange, target);
        }
    }

    /**
     * Returns who is at the address of an attempt. Another daemon resets its connection to an
     * incomplete response, so that an orderly close is a statement of that daemon.
     */
    private TargetPresence presence(Attempt attempt, Duration delay) {
        return attempt.recipient() == Recipient.DAEMON
                ? TargetPresence.PRESENT
                : presenceCheck.check(attempt.target(), delay);
    }

    private void endLease(ConnectionLease lease, TargetExchange exchange, Target target) {
        TargetConnection connection = lease.connection();
        if (lease.end() && exchange.reusable()) {
            connections.release(target, connection, exchange.keepAlive());
        } else {
            connection.close();
        }
    }

    @Override
    public boolean acceptsConnections(Target target) {
        try {
            TargetConnection.open(target.entry().endpoint(), CONNECT_TIMEOUT, ticker).close();
            return true;
        } catch (IOException e) {
            // The result is all that the caller asks for; attempts log why a connection failed.
            return false;
        }
    }

    @Override
    public boolean responds(Target target) {
        return presenceCheck.responds(target);
    }

    @Override
    public TargetPresence findPresence(Target target) {
        return presenceCheck.check(target, Duration.ZERO);
    }

    private TargetConnection acquireOrOpen(Attempt attempt) throws IOException {
        if (!attempt.newConnection()) {
            Optional<TargetConnection> pooled = connections.acquire(attempt.target());
            if (pooled.isPresent()) {
                return pooled.get();
            }
        }
        Duration timeout = attempt.deadline().cap(CONNECT_TIMEOUT);
        return TargetConnection.open(attempt.target().entry().endpoint(), timeout, ticker);
    }
}
