package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ReadAheadSocketTest {
    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration READ_TIMEOUT = Duration.ofMillis(100);

    private static final Duration READ_PAUSE = Duration.ofMillis(1);

    private Socket peer;
    private ReadAheadSocket socket;

    @BeforeEach
    void connect() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            peer = new Socket(server.getInetAddress(), server.getLocalPort());
            socket = new ReadAheadSocket(server.accept(), "test", Ticker.SYSTEM);
        }
    }

    @AfterEach
    void close() throws IOException {
        peer.close();
        socket.close();
    }

    private static long after(Duration time) {
        return Ticker.SYSTEM.nanos() + time.toNanos();
    }

    /** Scenario: a peer in trouble sends bytes without end, until the connection is closed. */
    @Nested
    final class EndlessInput {
        @BeforeEach
        void sendWithoutEnd() {
            Tasks.start("endless", this::sendAll);
        }

        private void sendAll() {
            byte[] bytes = new byte[4096];
            try {
                while (true) {
                    peer.getOutputStream().write(bytes);
                }
            } catch (IOException e) {
                // The test has closed the connection.
                return;
            }
        }

        private void readUntilFailure() throws IOException {
            byte[] bytes = new byte[1024];
            while (socket.input().read(bytes, 0, bytes.length) >= 0) {
                // Reads more slowly than the peer sends, so that there always are bytes to read.
                Tasks.sleep(READ_PAUSE);
            }
        }

        /** Guards against a task that reads for as long as the peer sends. */
        @Test
        void readsEndAtTheOverallDeadline() {
            socket.setReadDeadline(after(TEST_TIMEOUT.multipliedBy(2)));
            socket.setOverallDeadline(after(READ_TIMEOUT));
            assertTimeoutPreemptively(
                    TEST_TIMEOUT,
                    () -> assertThrows(SocketTimeoutException.class, this::readUntilFailure));
        }

        /** Guards against a close that waits for as long as the peer sends. */
        @Test
        void closeEnds() {
            assertTimeoutPreemptively(
                    TEST_TIMEOUT, () -> socket.closeGracefully(READ_TIMEOUT.toMillis()));
        }
    }

    @Nested
    final class DelayedReader {
        /**
         * Guards against a response that is dropped although it arrived in time, because this
         * daemon was slow to read it.
         */
        @Test
        void bytesThatHaveArrivedAreReadAfterTheReadDeadline() throws IOException {
            socket.setReadDeadline(after(READ_TIMEOUT));
            peer.getOutputStream().write('x');
            socket.awaitInput(after(TEST_TIMEOUT));
            Tasks.sleep(READ_TIMEOUT.multipliedBy(2));
            assertEquals('x', socket.input().read());
        }
    }

    /** Scenario: this side closes the connection while it reads, for example at a deadline. */
    @Nested
    final class CloseByThisSide {
        private static final int MORE_THAN_THE_BUFFER = 65_536;

        private void readAll() throws IOException {
            while (socket.input().read() >= 0) {
                // Reads on until the end.
            }
        }

        /** Guards against a body without a stated end that this side's own close completes. */
        @Test
        void readsFailAfterTheBufferedBytes() throws IOException {
            peer.getOutputStream().write(new byte[MORE_THAN_THE_BUFFER]);
            socket.setReadDeadline(after(TEST_TIMEOUT));
            socket.input().read();
            socket.close();
            assertTimeoutPreemptively(
                    TEST_TIMEOUT, () -> assertThrows(IOException.class, this::readAll));
        }

        /** Guards against the same end while no bytes wait to be read. */
        @Test
        void readsFailIfNoBytesAreBuffered() throws IOException {
            socket.setReadDeadline(after(TEST_TIMEOUT));
            socket.close();
            assertTimeoutPreemptively(
                    TEST_TIMEOUT, () -> assertThrows(IOException.class, this::readAll));
        }
    }
}
