package org.godwithoist.membership.wire;

import static org.godwithoist.membership.TestDaemon.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.BytesValue;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientResponse;
import io.vertx.grpc.common.GrpcMessageDecoder;
import io.vertx.grpc.common.GrpcMessageEncoder;
import io.vertx.grpc.common.GrpcStatus;
import io.vertx.grpc.common.ServiceMethod;
import io.vertx.grpc.common.ServiceName;
import io.vertx.grpc.server.GrpcServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.net.BlackholeProxy;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.PeerTransport.Method;
import org.godwithoist.membership.TestDaemon;
import org.godwithoist.settings.PeerKey;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GrpcPeerTransportTest {
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");
    private static final long INCARNATION = 7;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final PeerKey OLD = new PeerKey("old", "the secret before rotation");
    private static final PeerKey NEW = new PeerKey("new", "the secret after rotation");
    private static final Method<BytesValue, BytesValue> ECHO =
            new Method<>("test.Echo", "Echo", BytesValue.parser(), BytesValue.parser());
    private static final Method<BytesValue, BytesValue> SLOW =
            new Method<>("test.Slow", "Slow", BytesValue.parser(), BytesValue.parser());

    private static final ServiceMethod<Buffer, Buffer> RAW_ECHO =
            ServiceMethod.server(
                    ServiceName.create("test.Echo"),
                    "Echo",
                    GrpcMessageEncoder.IDENTITY,
                    GrpcMessageDecoder.IDENTITY);

    private final Map<HostId, Endpoint> endpoints = new HashMap<>();
    private final AtomicInteger handled = new AtomicInteger();
    private GrpcPeerTransport a;
    private GrpcPeerTransport b;

    @BeforeEach
    void start() {
        a = transport(A, INCARNATION, TestDaemon.KEYS);
        b = transport(B, INCARNATION, TestDaemon.KEYS);
    }

    @AfterEach
    void stop() {
        a.close();
        b.close();
    }

    private GrpcPeerTransport transport(HostId self, long incarnation, List<PeerKey> keys) {
        var t =
                new GrpcPeerTransport(
                        self,
                        incarnation,
                        keys,
                        h -> Optional.ofNullable(endpoints.get(h)),
                        Ticker.SYSTEM);
        t.serve(
                ECHO,
                (from, request) -> {
                    handled.incrementAndGet();
                    return request;
                });
        t.serve(SLOW, (from, request) -> TestDaemon.within(800, () -> false) ? null : request);
        Endpoint previous = endpoints.getOrDefault(self, new Endpoint("127.0.0.1", 0));
        endpoints.put(self, new Endpoint("127.0.0.1", t.listen(previous)));
        return t;
    }

    private static String echo(GrpcPeerTransport from, HostId to) {
        var request = BytesValue.of(ByteString.copyFromUtf8("hello"));
        return from.call(to, ECHO, request, TIMEOUT).join().getValue().toStringUtf8();
    }

    @Nested
    class NormalOperation {
        /**
         * Guards against calls that work only once or in one direction, and against missing byte
         * counts.
         */
        @Test
        void callsWorkBothWaysAndAreCounted() {
            for (int i = 0; i < 3; i++) {
                assertEquals("hello", echo(a, B));
                assertEquals("hello", echo(b, A));
            }
            assertTrue(a.traffic().bytesSent() > 300, "sent " + a.traffic().bytesSent());
            assertTrue(a.traffic().bytesReceived() > 300);
            assertEquals(0, a.traffic().connectionsReplaced());
        }
    }

    /** Sends raw requests, as a process could that has no metadata or recorded metadata. */
    @Nested
    class ForgedAndReplayed {
        private static final byte[] BODY =
                BytesValue.of(ByteString.copyFromUtf8("x")).toByteArray();

        private final Vertx vertx = Vertx.vertx();

        @AfterEach
        void close() {
            Await.result(vertx.close(), TIMEOUT);
        }

        private Map<String, String> signed(
                String version, HostId receiver, long incarnation, long seq) {
            var signer = new MessageSigner(TestDaemon.KEYS);
            var kind = MessageSigner.Kind.REQUEST;
            var envelope =
                    new MessageSigner.Envelope(
                            kind,
                            version,
                            "test.Echo/Echo",
                            A,
                            receiver,
                            incarnation,
                            INCARNATION,
                            seq,
                            0);
            Map<String, String> headers = new HashMap<>();
            headers.put("g-version", version);
            headers.put("g-key", signer.keyId());
            headers.put("g-host", A.value());
            headers.put("g-run", Long.toString(incarnation));
            headers.put("g-to-run", Long.toString(INCARNATION));
            headers.put("g-seq", Long.toString(seq));
            headers.put("g-sig", signer.sign(envelope, BODY));
            return headers;
        }

        private GrpcStatus send(Map<String, String> headers, byte[] body) {
            Endpoint to = endpoints.get(B);
            GrpcClient client = GrpcClient.client(vertx);
            return Await.result(
                    client.request(SocketAddress.inetSocketAddress(to.port(), to.ip()), RAW_ECHO)
                            .compose(
                                    call -> {
                                        headers.forEach((k, v) -> call.headers().set(k, v));
                                        var response = call.response();
                                        call.end(Buffer.buffer(body));
                                        return response;
                                    })
                            .compose(this::status),
                    TIMEOUT);
        }

        private Future<GrpcStatus> status(GrpcClientResponse<Buffer, Buffer> r) {
            return r.end().transform(v -> Future.succeededFuture(r.status()));
        }

        private void expect(Rejection reason, Map<String, String> headers, byte[] body) {
            int before = handled.get();
            long rejected = b.traffic().rejected(reason);
            assertEquals(reason.status(), send(headers, body));
            assertEquals(before, handled.get());
            assertEquals(rejected + 1, b.traffic().rejected(reason));
        }

        private Map<String, String> changed(String name, UnaryOperator<String> change) {
            Map<String, String> headers = signed("1", B, INCARNATION, 500);
            headers.compute(name, (k, v) -> change.apply(v));
            return headers;
        }

        /**
         * Guards against a recorded message that takes effect twice, and against a rejected
         * original.
         */
        @Test
        void replayHasNoEffect() {
            Map<String, String> recorded = signed("1", B, INCARNATION, 10);
            assertEquals(GrpcStatus.OK, send(recorded, BODY));
            assertEquals(1, handled.get());
            expect(Rejection.REPLAY, recorded, BODY);
            assertEquals(GrpcStatus.OK, send(signed("1", B, INCARNATION, 9), BODY));
            assertEquals(GrpcStatus.OK, send(signed("1", B, INCARNATION, 5_000), BODY));
            expect(Rejection.REPLAY, signed("1", B, INCARNATION, 11), BODY);
        }

        /** Guards against messages of an earlier incarnation of the sender. */
        @Test
        void earlierIncarnationOfTheSenderHasNoEffect() {
            assertEquals(GrpcStatus.OK, send(signed("1", B, INCARNATION, 1), BODY));
            expect(Rejection.OLD_SENDER, signed("1", B, INCARNATION - 1, 2), BODY);
        }

        /** Guards against a recorded message replayed to a receiver that restarted. */
        @Test
        void replayToARestartedReceiverHasNoEffect() {
            Map<String, String> recorded = signed("1", B, INCARNATION, 10);
            assertEquals(GrpcStatus.OK, send(recorded, BODY));
            b.close();
            b = transport(B, INCARNATION + 1, TestDaemon.KEYS);
            expect(Rejection.OLD_RECEIVER, recorded, BODY);
        }

        /** Guards against metadata or a body that the signature does not cover. */
        @Test
        void changedMessageHasNoEffect() {
            expect(Rejection.SIGNATURE, changed("g-host", v -> "c"), BODY);
            expect(Rejection.SIGNATURE, changed("g-run", v -> "9"), BODY);
            expect(Rejection.SIGNATURE, changed("g-to-run", v -> "9"), BODY);
            expect(Rejection.SIGNATURE, changed("g-seq", v -> "9"), BODY);
            expect(Rejection.SIGNATURE, changed("g-key", v -> "k2"), BODY);
            expect(Rejection.SIGNATURE, changed("g-sig", v -> "A" + v.substring(1)), new byte[3]);
            expect(Rejection.SIGNATURE, changed("g-sig", v -> "no base64 !"), BODY);
            expect(Rejection.SIGNATURE, signed("1", A, INCARNATION, 500), BODY);
            expect(Rejection.SIGNATURE, signed("1", B, INCARNATION, 500), new byte[1]);
            assertEquals(GrpcStatus.OK, send(signed("1", B, INCARNATION, 500), BODY));
        }

        /** Guards against unauthenticated messages and other versions that reach a handler. */
        @Test
        void unauthenticatedMessagesAndOtherVersionsHaveNoEffect() {
            expect(Rejection.MALFORMED, Map.of(), BODY);
            expect(Rejection.MALFORMED, changed("g-seq", v -> "many"), BODY);
            expect(Rejection.VERSION, signed("2", B, INCARNATION, 500), BODY);
        }

        /** Guards against a process without a key that responds at the address of a peer. */
        @Test
        void responseOfAnImpostorIsRejected() {
            var impostor =
                    GrpcServer.server(vertx)
                            .callHandler(
                                    RAW_ECHO, c -> c.last().onSuccess(m -> c.response().end(m)));
            var server = vertx.createHttpServer().requestHandler(impostor).listen(0, "127.0.0.1");
            int port = Await.result(server, TIMEOUT).actualPort();
            endpoints.put(B, new Endpoint("127.0.0.1", port));
            var e = assertThrows(CompletionException.class, () -> echo(a, B));
            assertTrue(e.getCause().getMessage().contains("not signed"));
        }

        /** Guards against invalid bytes that stop the endpoint. */
        @Test
        void invalidBytesDoNotAffectOtherConnections() throws IOException {
            Endpoint to = endpoints.get(B);
            for (String text :
                    List.of("GET / HTTP/1.1\r\n\r\n", "\0\1\2\3 garbage", "PRI * HTTP")) {
                try (var socket = new Socket(to.ip(), to.port())) {
                    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
            assertEquals("hello", echo(a, B));
            assertEquals(1, handled.get());
        }
    }

    @Nested
    class Keys {
        private void restart(List<PeerKey> ofA, List<PeerKey> ofB) {
            stop();
            a = transport(A, INCARNATION + 1, ofA);
            b = transport(B, INCARNATION + 1, ofB);
        }

        /** Guards against a key rotation that interrupts the exchange at one of its steps. */
        @Test
        void bothKeysAreValidDuringRotation() {
            restart(List.of(OLD, NEW), List.of(OLD));
            assertEquals("hello", echo(a, B));
            restart(List.of(NEW, OLD), List.of(OLD, NEW));
            assertEquals("hello", echo(a, B));
            assertEquals("hello", echo(b, A));
            restart(List.of(NEW), List.of(NEW, OLD));
            assertEquals("hello", echo(b, A));
        }

        /** Guards against a retired key that is still accepted. */
        @Test
        void retiredKeyIsRejected() {
            restart(List.of(OLD), List.of(NEW));
            assertThrows(CompletionException.class, () -> echo(a, B));
            assertEquals(0, handled.get());
            assertEquals(1, b.traffic().rejected(Rejection.SIGNATURE));
        }
    }

    @Nested
    class RestartedPeer {
        /** Guards against failing calls to or from a peer after its restart. */
        @Test
        void callsContinueInBothDirections() {
            assertEquals("hello", echo(a, B));
            b.close();
            b = transport(B, INCARNATION + 1, TestDaemon.KEYS);
            await(3_000, this::reachable);
            assertEquals("hello", echo(b, A));
        }

        private boolean reachable() {
            try {
                return echo(a, B).equals("hello");
            } catch (CompletionException e) {
                return false;
            }
        }
    }

    @Nested
    class UnresponsiveConnection {
        /** Guards against calls that keep waiting on a connection that lost its state. */
        @Test
        void isReplacedAfterOneTimeout() throws IOException {
            try (var proxy = new BlackholeProxy(endpoints.get(B))) {
                endpoints.put(B, proxy.endpoint());
                assertEquals("hello", echo(a, B));
                assertEquals(1, proxy.connections());
                proxy.blackholeOpenConnections();
                assertThrows(CompletionException.class, () -> echo(a, B));
                assertEquals("hello", echo(a, B));
                assertEquals(2, proxy.connections());
                assertEquals(1, a.traffic().connectionsReplaced());
            }
        }

        /** Guards against closing a working connection because one handler is slow. */
        @Test
        void slowHandlerKeepsTheConnection() {
            Duration tenth = Duration.ofMillis(100);
            var request = BytesValue.getDefaultInstance();
            assertThrows(CompletionException.class, () -> b.call(A, SLOW, request, tenth).join());
            assertEquals(request, b.call(A, SLOW, request, TIMEOUT.multipliedBy(3)).join());
            assertEquals(0, b.traffic().connectionsReplaced());
        }
    }
}
