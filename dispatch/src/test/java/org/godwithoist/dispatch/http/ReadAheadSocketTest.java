package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.HotSpotDiagnosticMXBean;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketOption;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ReadAheadSocketTest {
    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration READ_TIMEOUT = Duration.ofMillis(100);

    private static final String LATE_READER = "late-reader";
    private static final int MAX_CHECKS = 50;

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

    /** Scenario: bytes arrive while the reading task does not get to run. */
    @Nested
    final class LateReadingTask {
        /** Guards against a response that seems to come later than what was sent after it. */
        @Test
        void doesNotHideWhatHasArrived() throws Exception {
            assertTrue(socket.isIdle());
            try (BusyScheduler _ = new BusyScheduler()) {
                peer.getOutputStream().write(1);
                assertFalse(socket.isIdle());
                assertTrue(socket.hasUnreadInput());
            }
        }
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
                    TEST_TIMEOUT,
                    () -> socket.closeGracefully(READ_TIMEOUT.toMillis(), Integer.MAX_VALUE));
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

        /** Guards against a connection that is reused although this side has closed it. */
        @Test
        void closedConnectionCountsAsEnded() {
            socket.close();
            assertTrue(socket.isEnded());
            assertFalse(socket.isIdle());
        }

        /**
         * Guards against a reading task that waits without an end, and keeps its memory, because
         * bytes arrived while this side closed the connection.
         */
        @Test
        void readingTaskEndsIfBytesArriveDuringTheClose() throws IOException {
            SocketWithLateBytes late = new SocketWithLateBytes();
            new ReadAheadSocket(late, LATE_READER, Ticker.SYSTEM).close();
            late.release();
            for (int i = 0; i < MAX_CHECKS && hasThread(LATE_READER); i++) {
                Tasks.sleep(READ_TIMEOUT);
            }
            assertFalse(hasThread(LATE_READER));
        }

        private static boolean hasThread(String name) throws IOException {
            Path dump = Files.createTempDirectory("threads").resolve("dump");
            HotSpotDiagnosticMXBean diagnostics =
                    ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class);
            diagnostics.dumpThreads(
                    dump.toString(), HotSpotDiagnosticMXBean.ThreadDumpFormat.TEXT_PLAIN);
            boolean found = Files.readString(dump).contains(name);
            Files.delete(dump);
            Files.delete(dump.getParent());
            return found;
        }
    }

    /** A socket whose read returns a byte after the socket was closed. */
    private static final class SocketWithLateBytes extends Socket {
        private final CountDownLatch released = new CountDownLatch(1);

        void release() {
            released.countDown();
        }

        @Override
        public InputStream getInputStream() {
            return new InputStream() {
                @Override
                public int read() {
                    return 'x';
                }

                @Override
                public int read(byte[] bytes, int from, int length) throws IOException {
                    try {
                        released.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    bytes[from] = 'x';
                    return 1;
                }
            };
        }

        @Override
        public OutputStream getOutputStream() {
            return OutputStream.nullOutputStream();
        }

        @Override
        public void setTcpNoDelay(boolean on) {}

        @Override
        public <T> Socket setOption(SocketOption<T> name, T value) {
            return this;
        }
    }
}
