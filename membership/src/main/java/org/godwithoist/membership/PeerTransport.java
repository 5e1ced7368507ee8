package org.godwithoist.membership;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.core.id.HostId;

/**
 * RPC between daemons. Each slice defines its own methods. The transport authenticates both sides
 * and drops unauthenticated messages, replays and messages of other protocol versions before they
 * reach a handler.
 */
public interface PeerTransport {
    /**
     * A method that daemons call on each other.
     *
     * @param service service name, for example {@code godwithoist.admission.Slots}
     * @param name method name
     * @param requestParser parser of requests
     * @param responseParser parser of responses
     */
    record Method<Q extends MessageLite, R extends MessageLite>(
            String service, String name, Parser<Q> requestParser, Parser<R> responseParser) {}

    /** Handles calls of one method. Runs in a virtual thread of its own and may block. */
    @FunctionalInterface
    interface Handler<Q, R> {
        /**
         * Returns the response to a call.
         *
         * @param from authenticated caller
         */
        R handle(HostId from, Q request);
    }

    /** Registers the handler of a method. Must be called before the daemon listens. */
    <Q extends MessageLite, R extends MessageLite> void serve(
            Method<Q, R> method, Handler<Q, R> handler);

    /**
     * Calls a peer. The future fails if the peer is unknown, does not respond in time or rejects
     * the call. A connection on which nothing arrives is closed and replaced.
     */
    <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
            HostId peer, Method<Q, R> method, Q request, Duration timeout);
}
