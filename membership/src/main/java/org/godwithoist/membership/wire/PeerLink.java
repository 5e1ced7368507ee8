package org.godwithoist.membership.wire;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.time.Ticker;

/**
 * The connection to one peer, with the numbers that outlive it. There is one connection at a time;
 * a silent one is closed together with its pool, and the next call opens another. Thread-safe.
 */
final class PeerLink {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * A connection that has not delivered a byte for this time after a call is silent. Must be
     * shorter than the timeout of an exchange (1 s), which starts before the request is written;
     * with equal times a silent connection was kept for a second timeout.
     */
    private static final Duration UNRESPONSIVE_AFTER = Duration.ofMillis(800);

    private static final long NOT_WAITING = Long.MIN_VALUE;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** One connection with its pool, and since when it owes an answer. */
    final class Pool {
        private final GrpcClient client =
                GrpcClient.builder(vertx)
                        .with(
                                new GrpcClientOptions()
                                        .setMaxMessageSize(GrpcPeerTransport.MAX_MESSAGE_BYTES))
                        .with(
                                new HttpClientOptions()
                                        .setProtocolVersion(HttpVersion.HTTP_2)
                                        .setHttp2ClearTextUpgrade(false)
                                        .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()))
                        .build();
        private final AtomicReference<HttpConnection> connection = new AtomicReference<>();
        private final AtomicLong waitingSince = new AtomicLong(NOT_WAITING);

        GrpcClient client() {
            return client;
        }

        /** Notes that a call is about to be sent over a connection. */
        void beforeSend(HttpConnection current) {
            if (!current.equals(connection.getAndSet(current))) {
                traffic.addCounter(current, () -> waitingSince.set(NOT_WAITING));
            }
            waitingSince.compareAndSet(NOT_WAITING, ticker.nanos());
        }

        private boolean isUnresponsive() {
            long since = waitingSince.get();
            return since != NOT_WAITING && ticker.nanos() - since >= UNRESPONSIVE_AFTER.toNanos();
        }

        private void close() {
            HttpConnection open = connection.get();
            if (open != null) {
                open.close();
            }
            client.close();
        }
    }

    private final Vertx vertx;
    private final HostId peer;
    private final Endpoint endpoint;
    private final PeerTraffic traffic;
    private final Ticker ticker;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong incarnation = new AtomicLong();
    private Pool pool;

    /**
     * Makes a link without a connection.
     *
     * @param previous link to the same peer at another endpoint, or null; the numbers go on from it
     */
    PeerLink(
            Vertx vertx,
            HostId peer,
            Endpoint endpoint,
            PeerLink previous,
            PeerTraffic traffic,
            Ticker ticker) {
        this.vertx = vertx;
        this.peer = peer;
        this.endpoint = endpoint;
        this.traffic = traffic;
        this.ticker = ticker;
        if (previous != null) {
            sequence.set(previous.sequence.get());
            incarnation.set(previous.incarnation.get());
        }
    }

    Endpoint endpoint() {
        return endpoint;
    }

    SocketAddress address() {
        return SocketAddress.inetSocketAddress(endpoint.port(), endpoint.ip());
    }

    /** Returns the number of the next request. Numbers are kept apart for each receiver. */
    long nextSequence() {
        return sequence.incrementAndGet();
    }

    /** Returns the run of the peer as it last stated it; 0 if it is not known. */
    long incarnation() {
        return incarnation.get();
    }

    /** Notes the run that the peer stated in a signed answer. */
    void recordIncarnation(long stated) {
        incarnation.accumulateAndGet(stated, Math::max);
    }

    /** Returns the pool in use. */
    synchronized Pool pool() {
        if (pool == null) {
            pool = new Pool();
        }
        return pool;
    }

    /** Closes a pool whose call timed out if its connection is silent. */
    void replaceIfUnresponsive(Pool used) {
        synchronized (this) {
            if (used != pool || !used.isUnresponsive()) {
                return;
            }
            pool = null;
        }
        used.close();
        traffic.countReplaced();
        LOG.atWarning().log("connection to member %s is silent; it is replaced", peer);
    }

    synchronized void close() {
        if (pool != null) {
            pool.close();
            pool = null;
        }
    }
}
