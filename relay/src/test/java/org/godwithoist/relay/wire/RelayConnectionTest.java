package org.godwithoist.relay.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.relay.RelayClient;
import org.godwithoist.relay.RelayTiming;
import org.godwithoist.relay.RelayedTable;
import org.godwithoist.relay.StaleCopyException;
import org.godwithoist.relay.TableName;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.godwithoist.store.feed.StoreEra;
import org.godwithoist.store.feed.StoreVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link RelayConnection} and {@link RelayServer} over TCP connections. */
final class RelayConnectionTest {
    private static final TableName TABLE = new TableName("operator");
    private static final RelayTiming TIMING = new RelayTiming(Duration.ofSeconds(3));
    private static final RelayClient.Request REQUEST =
            new RelayClient.Request(TABLE, version(10), Duration.ofMillis(200));
    private static final Duration MARGIN = Duration.ofMillis(300);

    /** Time beyond the deadline that is allowed for delays on a busy host. */
    private static final Duration SLACK = Duration.ofSeconds(2);

    private final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
    private final EventLog log = EventLog.start(logBytes);
    private final RelayConnection connection = new RelayConnection(Ticker.SYSTEM);
    private ServerSocket server;
    private Endpoint leader;

    @BeforeEach
    void open() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        leader = new Endpoint("127.0.0.1", server.getLocalPort());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        connection.close();
    }

    private static StoreVersion version(long number) {
        return new StoreVersion(new StoreEra(1), number);
    }

    private void accept(Consumer<Socket> handler) {
        Tasks.start(
                "leader",
                () -> {
                    while (!server.isClosed()) {
                        try {
                            Socket member = server.accept();
                            Tasks.start("member", () -> handler.accept(member));
                        } catch (IOException e) {
                            assertTrue(server.isClosed(), e.getMessage());
                        }
                    }
                });
    }

    /** Sends the same bytes on each connection, one by one with a pause after each. */
    private void acceptAndSend(byte[] bytes, Duration pause) {
        accept(
                member -> {
                    try (member) {
                        OutputStream out = member.getOutputStream();
                        for (byte b : bytes) {
                            out.write(b);
                            Tasks.sleep(pause);
                        }
                        Tasks.sleep(SLACK.multipliedBy(5));
                    } catch (IOException e) {
                        // The member closed the connection, as the test expects.
                        assertTrue(member.isConnected());
                    }
                });
    }

    private static byte[] framed(byte[] message) {
        return ByteBuffer.allocate(Integer.BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }

    /** Waits for a log event, which is written only after the connection was closed. */
    private void awaitEvent(String event) {
        Deadline deadline = Deadline.after(SLACK, Ticker.SYSTEM);
        while (!logBytes.toString(StandardCharsets.UTF_8).contains(event)) {
            assertFalse(deadline.isExpired(), "log event not written: " + event);
            Tasks.sleep(Duration.ofMillis(5));
        }
    }

    private void assertFailsInTime() {
        long start = System.nanoTime();
        assertThrows(IOException.class, () -> connection.changes(leader, REQUEST, MARGIN));
        Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
        Duration maxDuration = REQUEST.maxWait().plus(MARGIN).plus(SLACK);
        assertTrue(elapsed.compareTo(maxDuration) < 0, "took " + elapsed);
    }

    @Nested
    final class HealthyLeader {
        private final RelayedTable relayedTable = new RelayedTable(TABLE);

        @BeforeEach
        void serve() {
            accept(new RelayServer(relayedTable.tables(), () -> TIMING, log, Ticker.SYSTEM)::serve);
        }

        /** Guards against rows that are altered or lost in transfer. */
        @Test
        void rowsAreTransferredUnchanged() throws Exception {
            byte[] large = "route-12 ".repeat(50_000).getBytes(StandardCharsets.UTF_8);
            FeedRow config = new FeedRow("config", large, 11, false);
            FeedRow order = new FeedRow("evacuate/north", new byte[0], 12, true);
            relayedTable.add(10, new FeedPage(List.of(config, order), version(12)));
            FeedPage page = connection.changes(leader, REQUEST, MARGIN);
            assertEquals(version(12), page.version());
            assertEquals(2, page.rows().size());
            assertArrayEquals(large, page.rows().get(0).value());
            assertEquals("evacuate/north", page.rows().get(1).key());
            assertTrue(page.rows().get(1).deleted());
        }

        /** Guards against a new connection for each request. */
        @Test
        void connectionIsReused() throws Exception {
            relayedTable.add(10, new FeedPage(List.of(), version(10)));
            for (int i = 0; i < 3; i++) {
                assertEquals(List.of(), connection.changes(leader, REQUEST, MARGIN).rows());
            }
        }

        /** Guards against "no up-to-date copy" being decoded as "no changes". */
        @Test
        void staleLeaderIsReported() {
            assertThrows(
                    StaleCopyException.class, () -> connection.changes(leader, REQUEST, MARGIN));
        }

        /** Guards against malformed requests that stop the server or are not logged. */
        @Test
        void malformedRequestClosesOnlyItsConnection() throws Exception {
            try (Socket other = new Socket(InetAddress.getLoopbackAddress(), leader.port())) {
                other.getOutputStream()
                        .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals(-1, other.getInputStream().read());
            }
            awaitEvent("relay_question_left_out");
            relayedTable.add(10, new FeedPage(List.of(), version(10)));
            assertEquals(version(10), connection.changes(leader, REQUEST, MARGIN).version());
        }
    }

    /** Scenario: a leader is suspended or its link is slow ({@code node_freeze}). */
    @Nested
    final class UnresponsiveLeader {
        /** Guards against a member that waits indefinitely for an unresponsive leader. */
        @Test
        void requestTimesOut() {
            acceptAndSend(new byte[0], Duration.ZERO);
            assertFailsInTime();
        }

        /** Guards against single bytes that extend the wait indefinitely. */
        @Test
        void slowBytesDoNotExtendTheTimeout() throws Exception {
            byte[] response =
                    framed(RelayCodec.encode(Optional.of(new FeedPage(List.of(), version(12)))));
            acceptAndSend(response, Duration.ofMillis(400));
            assertFailsInTime();
        }
    }

    @Nested
    final class MalformedResponse {
        /** Guards against allocating as much memory as a wrong length claims. */
        @Test
        void oversizedLengthIsRejected() {
            acceptAndSend(new byte[] {0x7f, -1, -1, -1, 1}, Duration.ZERO);
            assertFailsInTime();
        }

        /** Guards against a response of another version that is decoded as changes. */
        @Test
        void unknownVersionIsRejected() {
            acceptAndSend(framed(new byte[] {9, 1, 0, 0}), Duration.ZERO);
            assertFailsInTime();
        }
    }
}
