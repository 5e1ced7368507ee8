package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.BegunResponse;
import org.godwithoist.dispatch.BodyEnd;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.RequestConstraints;
import org.godwithoist.dispatch.ResponseHead;
import org.godwithoist.dispatch.ServingStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What callers read of the responses that are sent to them. */
final class HttpCallerResponseTest {
    private ServerSocket server;
    private Socket caller;
    private ReadAheadSocket socket;
    private HttpCallerResponse response;

    @BeforeEach
    void connect() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        caller = new Socket(server.getInetAddress(), server.getLocalPort());
        socket = new ReadAheadSocket(server.accept(), "caller", Ticker.SYSTEM);
        response =
                new HttpCallerResponse(
                        socket,
                        new MessageWriter(socket.output()),
                        new ServingStatus(),
                        () -> false,
                        MemoryBudget.ofHeap(40L << 20),
                        new ConnectionActivity(socket, RequestConstraints.DEFAULT, Ticker.SYSTEM));
    }

    @AfterEach
    void close() throws IOException {
        socket.close();
        caller.close();
        server.close();
    }

    private String received() throws IOException {
        socket.closeGracefully(0, 0);
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static void assertOnlyAHead(String received) {
        assertTrue(received.endsWith("\r\n\r\n"), received);
        assertEquals(received.length(), received.indexOf("\r\n\r\n") + 4, received);
    }

    /** Scenario: the daemon needs the memory of a response for others. */
    @Nested
    final class WithoutMemory {
        /** Guards against a log that blames the caller for a connection that the daemon closed. */
        @Test
        void closedConnectionIsToldFromACallerWhoLeft() {
            assertFalse(response.closedForMemory());
            response.abortForMemory();
            assertTrue(response.callerDisconnected());
            assertTrue(response.closedForMemory());
        }

        /** Guards against callers who leave and are logged as closed by the daemon. */
        @Test
        void callerWhoLeftIsNotClosed() {
            response.abort();
            assertTrue(response.callerDisconnected());
            assertFalse(response.closedForMemory());
        }
    }

    /** Scenario: a part of a response was sent. */
    @Nested
    final class Begun {
        private final ResponseHead head = ResponseHead.of(200, List.of(), BodyEnd.MARK);

        /** Guards against the response of a second target behind a part of the first one. */
        @Test
        void isNotStartedAgain() throws IOException {
            response.start(head).write(new byte[] {'a'}, 0, 1);
            assertThrows(IllegalStateException.class, () -> response.start(head));
            assertTrue(received().endsWith("\r\n\r\n1\r\na\r\n"));
        }

        /** Guards against a refusal that the caller takes for a part of the body. */
        @Test
        void isNotRefused() throws IOException {
            response.start(head).write(new byte[] {'a'}, 0, 1);
            Duration retryAfter = Duration.ofSeconds(1);
            assertThrows(
                    IllegalStateException.class,
                    () -> response.refuse(Refusal.NO_TARGET, retryAfter));
            assertTrue(received().endsWith("\r\n\r\n1\r\na\r\n"));
        }
    }

    /** Scenario: the request asks for the head of a response. */
    @Nested
    final class HeadOnly {
        /** Guards against a length of 0 of a body that has another one, and against a body. */
        @Test
        void noLengthIsInvented() throws IOException {
            response.headOnly(true);
            ResponseHead head = ResponseHead.of(200, List.of(), BodyEnd.LENGTH);
            BegunResponse begun = response.start(head.withLength(0));
            begun.write(new byte[0], 0, 0);
            begun.finish();
            String received = received();
            assertOnlyAHead(received);
            assertFalse(received.contains("Content-Length"), received);
        }

        /** Guards against the body of a refusal that the caller takes for the next response. */
        @Test
        void refusalHasNoBody() throws IOException {
            response.headOnly(true);
            response.refuse(Refusal.NO_TARGET, Duration.ofSeconds(1));
            assertOnlyAHead(received());
        }
    }

    /** Scenario: the status says that there is no body. */
    @Nested
    final class StatusWithoutABody {
        /** Guards against a last chunk that the caller takes for the next response. */
        @ParameterizedTest
        @ValueSource(ints = {204, 304})
        void nothingFollowsTheHead(int status) throws IOException {
            BegunResponse begun = response.start(ResponseHead.of(status, List.of(), BodyEnd.MARK));
            begun.write(new byte[0], 0, 0);
            begun.finish();
            assertOnlyAHead(received());
        }
    }
}
