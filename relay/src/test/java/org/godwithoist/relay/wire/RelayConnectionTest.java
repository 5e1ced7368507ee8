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
import org.godwithoist.relay.NoFreshNewsException;
import org.godwithoist.relay.RelayClient;
import org.godwithoist.relay.RelayTiming;
import org.godwithoist.relay.RelayedNews;
import org.godwithoist.relay.TableName;
import org.godwithoist.store.feed.FeedPage;
import org.godwithoist.store.feed.FeedRow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of {@link RelayConnection} and {@link RelayServer} over real connections. */
final class RelayConnectionTest {
    private static final TableName TABLE = new TableName("operator");
    private static final RelayTiming TIMING = new RelayTiming(Duration.ofSeconds(3));
    private static final RelayClient.Question QUESTION =
            new RelayClient.Question(TABLE, 10, Duration.ofMillis(200));
    private static final Duration MARGIN = Duration.ofMillis(300);

    /** Time beyond the deadline for a busy machine. */
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

    private void accept(Consumer<Socket> body) {
        Tasks.start(
                "leader",
                () -> {
                    while (!server.isClosed()) {
                        try {
                            Socket member = server.accept();
                            Tasks.start("member", () -> body.accept(member));
                        } catch (IOException e) {
                            assertTrue(server.isClosed(), e.getMessage());
                        }
                    }
                });
    }

    /** Answers each question with the same bytes, written one by one with a pause. */
    private void acceptAndAnswer(byte[] bytes, Duration pause) {
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
                        // The member has given up, as the test expects.
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

    /** The line is written after the connection was closed. */
    private void awaitLogged(String event) {
        Deadline deadline = Deadline.after(SLACK, Ticker.SYSTEM);
        while (!logBytes.toString(StandardCharsets.UTF_8).contains(event)) {
            assertFalse(deadline.isExpired(), "no line " + event);
            Tasks.sleep(Duration.ofMillis(5));
        }
    }

    private void assertFailsInTime() {
        long began = System.nanoTime();
        assertThrows(IOException.class, () -> connection.changes(leader, QUESTION, MARGIN));
        Duration took = Duration.ofNanos(System.nanoTime() - began);
        Duration most = QUESTION.longestWait().plus(MARGIN).plus(SLACK);
        assertTrue(took.compareTo(most) < 0, "took " + took);
    }

    @Nested
    final class SoundLeader {
        private final RelayedNews news = new RelayedNews(TABLE);

        @BeforeEach
        void serve() {
            accept(new RelayServer(news.tables(), () -> TIMING, log, Ticker.SYSTEM)::serve);
        }

        /** Guards against rows that are changed, or lost, on their way. */
        @Test
        void rowsArriveWhole() throws Exception {
            byte[] large = "route-12 ".repeat(50_000).getBytes(StandardCharsets.UTF_8);
            FeedRow config = new FeedRow("config", large, 11, false);
            FeedRow order = new FeedRow("evacuate/north", new byte[0], 12, true);
            news.add(10, new FeedPage(List.of(config, order), 12));
            FeedPage page = connection.changes(leader, QUESTION, MARGIN);
            assertEquals(12, page.version());
            assertEquals(2, page.rows().size());
            assertArrayEquals(large, page.rows().get(0).value());
            assertEquals("evacuate/north", page.rows().get(1).key());
            assertTrue(page.rows().get(1).deleted());
        }

        /** Guards against a connection for each question. */
        @Test
        void oneConnectionCarriesManyQuestions() throws Exception {
            news.add(10, new FeedPage(List.of(), 10));
            for (int i = 0; i < 3; i++) {
                assertEquals(List.of(), connection.changes(leader, QUESTION, MARGIN).rows());
            }
        }

        /** Guards against a member that takes "cannot tell" for "nothing has changed". */
        @Test
        void leaderWithoutNewsSaysSo() {
            assertThrows(
                    NoFreshNewsException.class, () -> connection.changes(leader, QUESTION, MARGIN));
        }

        /** Guards against bytes of others that end the server or leave no trace. */
        @Test
        void unreadableQuestionEndsItsConnectionOnly() throws Exception {
            try (Socket other = new Socket(InetAddress.getLoopbackAddress(), leader.port())) {
                other.getOutputStream()
                        .write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals(-1, other.getInputStream().read());
            }
            awaitLogged("relay_question_left_out");
            news.add(10, new FeedPage(List.of(), 10));
            assertEquals(10, connection.changes(leader, QUESTION, MARGIN).version());
        }
    }

    /** Pattern: a leader stands still or its link is squeezed ({@code node_freeze}). */
    @Nested
    final class SilentLeader {
        /** Guards against a member that waits for a leader that says nothing. */
        @Test
        void silenceEndsInTime() {
            acceptAndAnswer(new byte[0], Duration.ZERO);
            assertFailsInTime();
        }

        /** Guards against single bytes that prolong the wait without end. */
        @Test
        void slowBytesDoNotProlongTheWait() throws Exception {
            byte[] answer = framed(RelayCodec.encode(Optional.of(new FeedPage(List.of(), 12))));
            acceptAndAnswer(answer, Duration.ofMillis(400));
            assertFailsInTime();
        }
    }

    @Nested
    final class MalformedAnswer {
        /** Guards against memory that a wrong length takes. */
        @Test
        void lengthBeyondTheLimitIsRefused() {
            acceptAndAnswer(new byte[] {0x7f, -1, -1, -1, 1}, Duration.ZERO);
            assertFailsInTime();
        }

        /** Guards against an answer of another version that is read as news. */
        @Test
        void unknownVersionIsRefused() {
            acceptAndAnswer(framed(new byte[] {9, 1, 0, 0}), Duration.ZERO);
            assertFailsInTime();
        }
    }
}
