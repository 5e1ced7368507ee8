package org.godwithoist.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.services.Fixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What a caller is told of a body that its target ends only by closing the connection. */
final class UnstatedEndRoutesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** Time in which the daemon reads a long body, before its connection ends. */
    private static final Duration READ_TIME = Duration.ofMillis(500);

    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** A part of a body; the process that sent it lives on. */
    private static final String PART = "part of a body ".repeat(20);

    private final Vertx vertx = Vertx.vertx();
    private final Fixture fixture = new Fixture();
    private ScriptedTarget target;
    private volatile String fields = "";
    private volatile String sent = PART;
    private int port;

    @BeforeEach
    void listen() throws IOException {
        target = new ScriptedTarget(this::respond);
        fixture.addTarget("t1", new Endpoint("127.0.0.1", target.port()));
        var daemon = fixture.daemon("a", 1, fixture.tables(), new HttpServiceClient(vertx));
        Router router = Router.router(vertx);
        new ServiceRoutes(() -> Optional.of(Fixture.bundle()), daemon.proxy()).mount(router);
        port =
                Await.result(
                                vertx.createHttpServer()
                                        .requestHandler(router)
                                        .listen(0, "127.0.0.1"),
                                TIMEOUT)
                        .actualPort();
    }

    @AfterEach
    void close() throws IOException {
        Await.result(vertx.close(), TIMEOUT);
        target.close();
    }

    /** Questions about the target itself have no id. */
    private boolean respond(ScriptedTarget.Exchange e) throws IOException {
        boolean aboutItself = e.id().isEmpty();
        String head = aboutItself ? "Content-Length: 2\r\n" : fields;
        e.write("HTTP/1.1 200 OK\r\n" + head + "\r\n" + (aboutItself ? "{}" : sent));
        if (!aboutItself && sent.length() > PART.length()) {
            // The client loses what it has not read when the connection ends.
            Tasks.sleep(READ_TIME);
        }
        return aboutItself;
    }

    private String receive() throws IOException {
        return receive("");
    }

    /** Sends a call and returns all that its connection carries until its end. */
    private String receive(String fields) throws IOException {
        return receive("HTTP/1.1", "Connection: close\r\n" + fields);
    }

    private String receive(String version, String fields) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TIMEOUT.toMillis());
            String request =
                    """
                    POST /services/tickets/book %s\r
                    Host: a\r
                    Authorization: Bearer secret\r
                    Content-Length: 0\r
                    %s\r
                    """
                            .formatted(version, fields);
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] received = caller.getInputStream().readAllBytes();
            return new String(received, StandardCharsets.US_ASCII);
        }
    }

    /** Scenario: a living target closes the connection inside a body. */
    @Nested
    final class CutByALivingTarget {
        /** Guards against a part of a body that a last chunk or a length tells as whole. */
        @Test
        void partIsNotToldAsWhole() throws IOException {
            String received = receive();
            assertTrue(received.startsWith("HTTP/1.1 "), received);
            boolean isPart = received.contains(PART.substring(0, 20));
            boolean hasLength = received.toLowerCase(Locale.ROOT).contains("content-length");
            assertFalse(isPart && (hasLength || received.endsWith(LAST_CHUNK)), received);
        }

        /** Guards against a last chunk behind a part that is too long to be held back. */
        @Test
        void longPartIsNotToldAsWhole() throws IOException {
            sent = PART.repeat(400);
            String received = receive();
            assertTrue(received.contains(PART), received);
            assertFalse(received.endsWith(LAST_CHUNK));
        }

        /** Guards against a part that is told as whole when its call is repeated with its key. */
        @Test
        void partIsNotRetainedAsTheResponseOfAKey() throws IOException {
            String key = "Idempotency-Key: k\r\n";
            receive(key);
            String repeated = receive(key);
            assertFalse(repeated.contains(PART), repeated);
            assertTrue(repeated.contains("X-Run-State: ran"), repeated);
        }
    }

    /** Scenario: the target ends a whole body by closing the connection. */
    @Nested
    final class WholeBody {
        /** Guards against a sound response that is lost because its end is not stated. */
        @Test
        void arrivesAsItWasSent() throws IOException {
            String received = receive();
            assertTrue(received.startsWith("HTTP/1.1 200"), received);
            assertTrue(received.endsWith("\r\n\r\n" + PART), received);
        }
    }

    /** Scenario: the target sends chunks, which the caller cannot read. */
    @Nested
    final class CallerWithoutChunks {
        private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
        private static final String KEEP_ALIVE = "Connection: keep-alive\r\n";
        private static final String ALL_CHUNKS = chunk(PART) + LAST_CHUNK;

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        /** Guards against a part that ends like a whole body, with the connection. */
        @Test
        void partIsBrokenOff() {
            fields = CHUNKED;
            sent = chunk(PART).repeat(400);
            assertThrows(IOException.class, () -> receive("HTTP/1.0", ""));
        }

        /** Guards against a sound response that is broken off. */
        @Test
        void wholeBodyEndsWithTheConnection() throws IOException {
            fields = CHUNKED;
            sent = ALL_CHUNKS;
            String received = receive("HTTP/1.0", "");
            assertTrue(received.startsWith("HTTP/1.0 200"), received);
            assertTrue(received.endsWith("\r\n\r\n" + PART), received);
        }

        /** Guards against a later response that becomes a part of the body. */
        @Test
        void connectionIsNotKeptBehindABodyWithoutALength() throws IOException {
            fields = CHUNKED;
            sent = ALL_CHUNKS;
            String received = receive("HTTP/1.0", KEEP_ALIVE);
            assertTrue(received.endsWith("\r\n\r\n" + PART), received);
            assertFalse(received.toLowerCase(Locale.ROOT).contains("keep-alive"), received);
        }

        /** Guards against a second response on a connection that only its end frees. */
        @Test
        void laterRequestIsNotAnswered() throws IOException {
            fields = CHUNKED;
            sent = ALL_CHUNKS;
            String next = "\r\nGET /services/tickets/x HTTP/1.0\r\n" + KEEP_ALIVE;
            String received = receive("HTTP/1.0", KEEP_ALIVE + next);
            assertEquals(1, received.split("HTTP/1.0 ", -1).length - 1, received);
        }
    }
}
