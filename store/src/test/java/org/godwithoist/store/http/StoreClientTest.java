package org.godwithoist.store.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What a client makes of the store's responses, which a test writes byte by byte. */
final class StoreClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final byte[] CONTENT =
            "content of an object".getBytes(StandardCharsets.US_ASCII);

    private final Vertx vertx = Vertx.vertx();
    private ServerSocket server;
    private StoreClient client;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        client = new StoreClient(vertx, new Endpoint("127.0.0.1", server.getLocalPort()), TIMEOUT);
    }

    @AfterEach
    void close() throws IOException {
        Await.result(vertx.close(), TIMEOUT);
        server.close();
    }

    /** Responds to one request and closes the connection. */
    private void respond(String fields) {
        Tasks.start(
                "store",
                () -> {
                    try (Socket socket = server.accept()) {
                        socket.getInputStream().read(new byte[4096]);
                        String head = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
                        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                        socket.getOutputStream().write(CONTENT);
                    } catch (IOException e) {
                        // The test has ended.
                        return;
                    }
                });
    }

    private Optional<byte[]> get() {
        return Await.result(client.get("claim/1"), TIMEOUT);
    }

    @Nested
    final class Objects {
        /** Guards against a part of a stored response that callers get as the whole one. */
        @Test
        void contentWithoutAStatedEndIsNotBelieved() {
            respond("");
            assertThrows(RuntimeException.class, () -> get());
        }

        /** Guards against the loss of content whose end is stated. */
        @Test
        void contentWithALengthIsReturned() {
            respond("Content-Length: " + CONTENT.length + "\r\n");
            assertArrayEquals(CONTENT, get().orElseThrow());
        }
    }
}
