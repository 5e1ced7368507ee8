package org.godwithoist.relay.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Scenario: two connected sockets. */
@Timeout(30)
final class FramesTest {
    private static final Duration LONG = Duration.ofMinutes(1);

    private final Socket sender;
    private final Socket receiver;

    FramesTest() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            receiver = new Socket(server.getInetAddress(), server.getLocalPort());
            sender = server.accept();
        }
    }

    @AfterEach
    void close() throws IOException {
        sender.close();
        receiver.close();
    }

    @Nested
    final class PeerThatReads {
        @Test
        void getsTheMessage() throws IOException {
            byte[] message = {1, 2, 3};
            Frames.write(sender, message, LONG);
            Deadline deadline = Deadline.after(LONG, Ticker.SYSTEM);
            assertArrayEquals(message, Frames.read(receiver, message.length, deadline));
        }
    }

    @Nested
    final class PeerThatDoesNotRead {
        /** More than the system buffers for a connection. */
        private static final int LARGE_BYTES = 64 << 20;

        private static final Duration SHORT = Duration.ofMillis(100);

        /** Guards against a peer that keeps a connection and its message for ever. */
        @Test
        void isDisconnected() {
            byte[] message = new byte[LARGE_BYTES];
            assertThrows(IOException.class, () -> Frames.write(sender, message, SHORT));
            assertTrue(sender.isClosed());
        }
    }
}
