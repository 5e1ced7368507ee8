package org.godwithoist.membership.wire;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.grpc.client.GrpcClientResponse;
import io.vertx.grpc.client.InvalidStatusException;
import io.vertx.grpc.common.GrpcMessageDecoder;
import io.vertx.grpc.common.GrpcMessageEncoder;
import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.common.ServiceMethod;
import io.vertx.grpc.common.ServiceName;
import io.vertx.grpc.server.GrpcProtocol;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerOptions;
import io.vertx.grpc.server.GrpcServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.PeerTransport;
import org.godwithoist.settings.PeerKey;

/**
 * Peer transport over gRPC. Requests and responses are signed with HMAC-SHA-256. A request contains
 * the incarnation of its receiver, so that a recorded request cannot be replayed to a later
 * incarnation, which has no record of the sequence numbers already used. A sender that does not
 * know the incarnation, or whose peer restarted, receives it in a signed rejection and retries the
 * call once.
 *
 * <p>The transport has its own event loop, so that response streams do not delay control messages
 * and all bytes on it are control traffic.
 */
public final class GrpcPeerTransport implements PeerTransport {
    /** Version of the protocol between daemons; messages of other versions are rejected. */
    public static final String VERSION = "1";

    /** Maximum message size, far above the largest set of orders or members. */
    static final long MAX_MESSAGE_BYTES = 4L << 20;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration LISTEN_TIMEOUT = Duration.ofSeconds(10);
    // A peer that replaced an unresponsive connection cannot notify the receiver of the old one, so
    // the receiver closes connections on which nothing has arrived for this time.
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final int LOG_INTERVAL_SECONDS = 10;

    private static final String HEADER_VERSION = "g-version";
    private static final String HEADER_KEY = "g-key";
    private static final String HEADER_HOST = "g-host";
    private static final String HEADER_SENDER_INCARNATION = "g-run";
    private static final String HEADER_RECEIVER_INCARNATION = "g-to-run";
    private static final String HEADER_SEQUENCE = "g-seq";
    private static final String HEADER_SIGNATURE = "g-sig";
    private static final String HEADER_REASON = "g-reason";

    private record ServedMethod<Q extends MessageLite, R extends MessageLite>(
            Method<Q, R> method, Handler<Q, R> handler) {
        byte[] handle(HostId from, byte[] body) throws InvalidProtocolBufferException {
            return handler.handle(from, method.requestParser().parseFrom(body)).toByteArray();
        }
    }

    private record RawResponse(Optional<Rejection> rejection, Buffer body) {
        static RawResponse of(byte[] body) {
            return new RawResponse(Optional.empty(), Buffer.buffer(body));
        }

        static RawResponse rejected(Rejection reason) {
            return new RawResponse(Optional.of(reason), Buffer.buffer());
        }

        boolean isRejectedAs(Rejection reason) {
            return rejection.filter(r -> r == reason).isPresent();
        }
    }

    private final HostId self;
    private final long incarnation;
    private final MessageSigner signer;
    private final Function<HostId, Optional<Endpoint>> endpoints;
    private final Ticker ticker;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Map<String, ServedMethod<?, ?>> servedMethods = new ConcurrentHashMap<>();
    private final Map<HostId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<HostId, ReplayWindow> replayWindows = new ConcurrentHashMap<>();
    private final Vertx vertx =
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));

    /**
     * Creates a transport that does not listen yet.
     *
     * @param incarnation incarnation of this daemon; must be higher than in every earlier start
     * @param keys one or two keys; the first one signs, all verify
     * @param endpoints finds the endpoint of a peer; empty if it is not a member
     */
    public GrpcPeerTransport(
            HostId self,
            long incarnation,
            List<PeerKey> keys,
            Function<HostId, Optional<Endpoint>> endpoints,
            Ticker ticker) {
        this.self = self;
        this.incarnation = incarnation;
        this.signer = new MessageSigner(keys);
        this.endpoints = endpoints;
        this.ticker = ticker;
    }

    /** Returns the counters of the control traffic. */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Closes all connections and stops listening. Must not be called on an event loop. */
    public void close() {
        links.values().forEach(PeerLink::close);
        Await.result(vertx.close(), LISTEN_TIMEOUT);
    }

    // ---- server

    @Override
    public <Q extends MessageLite, R extends MessageLite> void serve(
            Method<Q, R> method, Handler<Q, R> handler) {
        servedMethods.put(fullName(method), new ServedMethod<>(method, handler));
    }

    /**
     * Starts listening; blocks the calling thread until done.
     *
     * @param endpoint address to listen on; port 0 selects a free port
     * @return the port
     */
    public int listen(Endpoint endpoint) {
        GrpcServerOptions options = new GrpcServerOptions().setMaxMessageSize(MAX_MESSAGE_BYTES);
        // Daemons use gRPC over HTTP/2 only; other protocols would increase the attack surface.
        for (GrpcProtocol p : GrpcProtocol.values()) {
            if (p != GrpcProtocol.HTTP_2) {
                options.removeEnabledProtocol(p);
            }
        }
        GrpcServer grpc = GrpcServer.server(vertx, options);
        for (ServedMethod<?, ?> e : servedMethods.values()) {
            ServiceMethod<Buffer, Buffer> method =
                    ServiceMethod.server(
                            ServiceName.create(e.method().service()),
                            e.method().name(),
                            GrpcMessageEncoder.IDENTITY,
                            GrpcMessageDecoder.IDENTITY);
            grpc.callHandler(method, this::receive);
        }
        vertx.setPeriodic(
                TimeUnit.SECONDS.toMillis(IDLE_TIMEOUT_SECONDS), t -> closeLinksOfRemovedPeers());
        HttpServer server =
                vertx.createHttpServer(
                                new HttpServerOptions()
                                        .setHttp2ClearTextEnabled(true)
                                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                                        .setIdleTimeoutUnit(TimeUnit.SECONDS))
                        .connectionHandler(c -> traffic.addCounter(c, () -> {}))
                        .requestHandler(grpc);
        return Await.result(server.listen(endpoint.port(), endpoint.ip()), LISTEN_TIMEOUT)
                .actualPort();
    }

    private void receive(GrpcServerRequest<Buffer, Buffer> request) {
        Context context = vertx.getOrCreateContext();
        request.last()
                .onSuccess(
                        body -> {
                            if (body == null) {
                                reject(request, Rejection.MALFORMED);
                            } else {
                                verifyAndDispatch(context, request, body.getBytes());
                            }
                        })
                .onFailure(e -> traffic.countRejected(Rejection.MALFORMED));
    }

    private void verifyAndDispatch(
            Context context, GrpcServerRequest<Buffer, Buffer> request, byte[] body) {
        MultiMap headers = request.headers();
        Optional<MessageSigner.Envelope> metadata =
                readMetadata(
                        MessageSigner.Kind.REQUEST, request.fullMethodName(), headers, self, 0);
        if (metadata.isEmpty()) {
            reject(request, Rejection.MALFORMED);
            return;
        }
        MessageSigner.Envelope envelope = metadata.get();
        if (!envelope.version().equals(VERSION)) {
            reject(request, Rejection.VERSION);
            return;
        }
        if (!signer.verify(
                headers.get(HEADER_KEY), headers.get(HEADER_SIGNATURE), envelope, body)) {
            reject(request, Rejection.SIGNATURE);
            return;
        }
        if (envelope.receiverIncarnation() != incarnation) {
            // Signed, because the sender adopts the incarnation of this daemon from it.
            sendResponse(request, envelope, RawResponse.rejected(Rejection.OLD_RECEIVER));
            return;
        }
        Optional<Rejection> replay =
                replayWindows
                        .computeIfAbsent(envelope.sender(), h -> new ReplayWindow())
                        .accept(envelope.senderIncarnation(), envelope.sequence());
        if (replay.isPresent()) {
            reject(request, replay.get());
            return;
        }
        ServedMethod<?, ?> method = servedMethods.get(request.fullMethodName());
        Tasks.start(
                "call-" + envelope.sender(),
                () -> {
                    RawResponse response = invokeHandler(method, envelope.sender(), body);
                    context.runOnContext(v -> sendResponse(request, envelope, response));
                });
    }

    private static RawResponse invokeHandler(ServedMethod<?, ?> method, HostId from, byte[] body) {
        try {
            return RawResponse.of(method.handle(from, body));
        } catch (InvalidProtocolBufferException | RuntimeException e) {
            LOG.atWarning().withCause(e).log("handling a message from member %s failed", from);
            return RawResponse.rejected(Rejection.FAILED);
        }
    }

    private void sendResponse(
            GrpcServerRequest<Buffer, Buffer> request,
            MessageSigner.Envelope received,
            RawResponse response) {
        int code = response.rejection().map(r -> r.status().code).orElse(GrpcStatus.OK.code);
        var envelope =
                new MessageSigner.Envelope(
                        MessageSigner.Kind.RESPONSE,
                        VERSION,
                        received.method(),
                        self,
                        received.sender(),
                        incarnation,
                        received.senderIncarnation(),
                        received.sequence(),
                        code);
        writeMetadata(request.response().headers(), envelope, response.body().getBytes());
        if (response.rejection().isEmpty()) {
            request.response().end(response.body());
            return;
        }
        Rejection reason = response.rejection().get();
        traffic.countRejected(reason);
        request.response().status(reason.status()).end();
    }

    private void reject(GrpcServerRequest<Buffer, Buffer> request, Rejection reason) {
        traffic.countRejected(reason);
        LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "dropped a message from %s: %s",
                request.connection().remoteAddress(), reason.wireName());
        request.response().headers().set(HEADER_REASON, reason.wireName());
        request.response().status(reason.status()).end();
    }

    // ---- client

    @Override
    public <Q extends MessageLite, R extends MessageLite> CompletableFuture<R> call(
            HostId peer, Method<Q, R> method, Q request, Duration timeout) {
        Optional<Endpoint> endpoint = endpoints.apply(peer);
        if (endpoint.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new PeerCallException(peer, "the peer is not a known member"));
        }
        PeerLink link = link(peer, endpoint.get());
        byte[] body = request.toByteArray();
        PeerLink.PeerClient client = link.client();
        // The gRPC deadline ends the stream; this timeout also covers connecting.
        return attempt(peer, link, client, method, body, timeout)
                .compose(
                        response ->
                                response.isRejectedAs(Rejection.OLD_RECEIVER)
                                        ? attempt(peer, link, client, method, body, timeout)
                                        : Future.succeededFuture(response))
                .map(response -> parse(peer, method, response))
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .recover(e -> Future.failedFuture(toException(peer, link, client, timeout, e)))
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** Closes the links to hosts that are no longer members. */
    private void closeLinksOfRemovedPeers() {
        links.forEach(
                (peer, link) -> {
                    if (endpoints.apply(peer).isEmpty() && links.remove(peer, link)) {
                        link.close();
                    }
                });
    }

    private PeerLink link(HostId peer, Endpoint endpoint) {
        return links.compute(
                peer,
                (h, old) -> {
                    if (old != null && old.endpoint().equals(endpoint)) {
                        return old;
                    }
                    if (old != null) {
                        old.close();
                    }
                    return new PeerLink(vertx, peer, endpoint, old, traffic, ticker);
                });
    }

    private Future<RawResponse> attempt(
            HostId peer,
            PeerLink link,
            PeerLink.PeerClient client,
            Method<?, ?> method,
            byte[] body,
            Duration timeout) {
        ServiceMethod<Buffer, Buffer> service =
                ServiceMethod.client(
                        ServiceName.create(method.service()),
                        method.name(),
                        GrpcMessageEncoder.IDENTITY,
                        GrpcMessageDecoder.IDENTITY);
        var envelope =
                new MessageSigner.Envelope(
                        MessageSigner.Kind.REQUEST,
                        VERSION,
                        fullName(method),
                        self,
                        peer,
                        incarnation,
                        link.incarnation(),
                        link.nextSequence(),
                        0);
        return client.grpc()
                .request(link.address(), service)
                .compose(
                        call -> {
                            writeMetadata(call.headers(), envelope, body);
                            call.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
                            client.beforeSend(call.connection());
                            // Registered before the request ends, because the response may arrive
                            // before the call returns.
                            var response = call.response();
                            call.end(Buffer.buffer(body));
                            return response;
                        })
                .compose(r -> readBody(r).map(b -> verify(peer, link, envelope, r, b)));
    }

    /** Returns the body of a response; empty for a rejection, which has none. */
    private static Future<Buffer> readBody(GrpcClientResponse<Buffer, Buffer> response) {
        return response.last()
                .recover(
                        e ->
                                e instanceof InvalidStatusException
                                        ? Future.succeededFuture(Buffer.buffer())
                                        : Future.failedFuture(e));
    }

    private RawResponse verify(
            HostId peer,
            PeerLink link,
            MessageSigner.Envelope sent,
            GrpcClientResponse<Buffer, Buffer> response,
            Buffer received) {
        GrpcStatus status = response.status();
        String reason = response.headers().get(HEADER_REASON);
        if (reason != null) {
            throw new PeerCallException(peer, "the peer rejected the request: " + reason);
        }
        byte[] body = received == null ? new byte[0] : received.getBytes();
        MultiMap headers = response.headers();
        Optional<MessageSigner.Envelope> metadata =
                readMetadata(
                        MessageSigner.Kind.RESPONSE,
                        sent.method(),
                        headers,
                        self,
                        status == null ? -1 : status.code);
        boolean valid =
                metadata.filter(
                                e ->
                                        e.sender().equals(peer)
                                                && e.receiverIncarnation() == incarnation
                                                && e.sequence() == sent.sequence()
                                                && e.version().equals(VERSION)
                                                && signer.verify(
                                                        headers.get(HEADER_KEY),
                                                        headers.get(HEADER_SIGNATURE),
                                                        e,
                                                        body))
                        .isPresent();
        if (!valid) {
            traffic.countRejected(Rejection.SIGNATURE);
            throw new PeerCallException(
                    peer,
                    "the response with status "
                            + status
                            + " is not signed by the peer for this request");
        }
        link.recordIncarnation(metadata.get().senderIncarnation());
        if (status == GrpcStatus.OK) {
            return RawResponse.of(body);
        }
        return RawResponse.rejected(
                status == Rejection.OLD_RECEIVER.status()
                        ? Rejection.OLD_RECEIVER
                        : Rejection.FAILED);
    }

    private static <R extends MessageLite> R parse(
            HostId peer, Method<?, R> method, RawResponse response) {
        if (response.rejection().isPresent()) {
            throw new PeerCallException(
                    peer,
                    "the peer rejected the request: " + response.rejection().get().wireName());
        }
        try {
            return method.responseParser().parseFrom(response.body().getBytes());
        } catch (InvalidProtocolBufferException e) {
            throw new PeerCallException(
                    peer, "the response is not a valid message of the method", e);
        }
    }

    private static PeerCallException toException(
            HostId peer,
            PeerLink link,
            PeerLink.PeerClient client,
            Duration timeout,
            Throwable cause) {
        if (cause instanceof PeerCallException e) {
            return e;
        }
        if (cause instanceof TimeoutException) {
            link.replaceIfUnresponsive(client);
            return new PeerCallException(
                    peer, "no response within " + timeout.toMillis() + " ms", cause);
        }
        return new PeerCallException(
                peer, "the connection could not be established or was lost", cause);
    }

    // ---- metadata

    private void writeMetadata(MultiMap headers, MessageSigner.Envelope e, byte[] body) {
        headers.set(HEADER_VERSION, e.version());
        headers.set(HEADER_KEY, signer.keyId());
        headers.set(HEADER_HOST, e.sender().value());
        headers.set(HEADER_SENDER_INCARNATION, Long.toString(e.senderIncarnation()));
        headers.set(HEADER_RECEIVER_INCARNATION, Long.toString(e.receiverIncarnation()));
        headers.set(HEADER_SEQUENCE, Long.toString(e.sequence()));
        headers.set(HEADER_SIGNATURE, signer.sign(e, body));
    }

    private static Optional<MessageSigner.Envelope> readMetadata(
            MessageSigner.Kind kind, String method, MultiMap headers, HostId receiver, int status) {
        for (String name :
                List.of(
                        HEADER_VERSION,
                        HEADER_KEY,
                        HEADER_HOST,
                        HEADER_SENDER_INCARNATION,
                        HEADER_RECEIVER_INCARNATION,
                        HEADER_SEQUENCE,
                        HEADER_SIGNATURE)) {
            if (headers.get(name) == null) {
                return Optional.empty();
            }
        }
        try {
            return Optional.of(
                    new MessageSigner.Envelope(
                            kind,
                            headers.get(HEADER_VERSION),
                            method,
                            new HostId(headers.get(HEADER_HOST)),
                            receiver,
                            Long.parseLong(headers.get(HEADER_SENDER_INCARNATION)),
                            Long.parseLong(headers.get(HEADER_RECEIVER_INCARNATION)),
                            Long.parseLong(headers.get(HEADER_SEQUENCE)),
                            status));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static String fullName(Method<?, ?> method) {
        return method.service() + "/" + method.name();
    }
}
