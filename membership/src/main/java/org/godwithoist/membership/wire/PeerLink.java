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
 * Connection to one peer, with the sequence number and the incarnation that outlive it. There is
 * one connection at a time; an unresponsive one is closed together with its client, and the next
 * call opens another. Thread-safe.
 */
final class PeerLink {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * A connection on which no byte arrives for this time after a call is unresponsive. Must be
     * shorter than the timeout of an exchange (1 s), which starts before the request is written;
     * with equal times an unresponsive connection was kept for a second timeout.
     */
    private static final Duration UNRESPONSIVE_AFTER = Duration.ofMillis(800);

    private static final long NOT_WAITING = Long.MIN_VALUE;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /**
     * Client with one connection, and the time of the first call after which nothing has arrived on
     * it.
     */
    final class PeerClient {
        private final GrpcClient grpc =
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

        GrpcClient grpc() {
            return grpc;
        }

        /** Records that a call is about to be sent over a connection. */
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
            grpc.close();
        }
    }

    private final Vertx vertx;
    private final HostId peer;
    private final Endpoint endpoint;
    private final PeerTraffic traffic;
    private final Ticker ticker;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong incarnation = new AtomicLong();
    private PeerClient client;

    /**
     * Creates a link without a connection.
     *
     * @param previous link to the same peer at another endpoint, or null; its sequence number and
     *     incarnation are taken over
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

    /** Returns the sequence number of the next request. Each receiver has its own sequence. */
    long nextSequence() {
        return sequence.incrementAndGet();
    }

    /** Returns the incarnation that the peer last stated; 0 if it is unknown. */
    long incarnation() {
        return incarnation.get();
    }

    /**
     * Records the incarnation that the peer stated in a signed response; a lower one has no effect.
     */
    void recordIncarnation(long stated) {
        incarnation.accumulateAndGet(stated, Math::max);
    }

    /** Returns the current client; creates one if there is none. */
    synchronized PeerClient client() {
        if (client == null) {
            client = new PeerClient();
        }
        return client;
    }

    /** Closes a client after a call of it timed out, if its connection is unresponsive. */
    void replaceIfUnresponsive(PeerClient used) {
        synchronized (this) {
            if (used != client || !used.isUnresponsive()) {
                return;
            }
            client = null;
        }
        used.close();
        traffic.countReplaced();
        LOG.atWarning().log("replacing the unresponsive connection to member %s", peer);
    }

    synchronized void close() {
        if (client != null) {
            client.close();
            client = null;
        }
    }
}
