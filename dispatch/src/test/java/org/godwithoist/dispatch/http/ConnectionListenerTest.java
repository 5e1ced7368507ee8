package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

final class ConnectionListenerTest {
    private static final int TIMEOUT_MS = 5000;
    private static final int SERVED = 1;
    private static final int REFUSED = 2;

    /** Heap with room for 16 connections that are served and two that are refused. */
    private static final long HEAP_BYTES = 1L << 20;

    private static final int MAX_SERVED = 16;
    private static final int MAX_REFUSED = 2;

    private final CountDownLatch release = new CountDownLatch(1);
    private final List<Socket> callers = new ArrayList<>();
    private final ConnectionListener listener;

    ConnectionListenerTest() throws IOException {
        ConnectionLimit limit =
                ConnectionLimit.of(
                        ConnectionLimit.Kind.CALLER,
                        HEAP_BYTES,
                        new IdleConnections(Ticker.SYSTEM));
        listener =
                ConnectionListener.open(
                        new Endpoint("127.0.0.1", 0),
                        "caller",
                        new Supervisor((task, cause, backoff) -> {}, Ticker.SYSTEM),
                        limit,
                        new ConnectionListener.Handlers(
                                s -> answer(s, SERVED), s -> answer(s, REFUSED)));
    }

    @AfterEach
    void close() throws IOException {
        release.countDown();
        listener.close();
        for (Socket s : callers) {
            s.close();
        }
    }

    /** Answers with one byte and keeps the connection open until its release. */
    private void answer(Socket socket, int answer) {
        try (socket) {
            socket.getOutputStream().write(answer);
            assertTrue(release.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } catch (IOException | InterruptedException e) {
            throw new AssertionError("a connection was not answered", e);
        }
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), listener.port());
        caller.setSoTimeout(TIMEOUT_MS);
        callers.add(caller);
        return caller;
    }

    private void connectAndExpect(int count, int answer) throws IOException {
        for (int i = 0; i < count; i++) {
            assertEquals(answer, connect().getInputStream().read());
        }
    }

    @Nested
    final class AtTheLimit {
        /** Guards against connections that are closed without an answer, or not accepted. */
        @Test
        void connectionsWithoutRoomAreRefused() throws IOException {
            connectAndExpect(MAX_SERVED, SERVED);
            connectAndExpect(MAX_REFUSED, REFUSED);
        }
    }

    @Nested
    final class Stop {
        private static final int QUEUED = 20;
        private static final Duration MAX_DRAIN = Duration.ofMillis(TIMEOUT_MS);

        /**
         * Guards against a close that resets the connections in the queue of the kernel, and
         * against one that fails because the queue is empty before it begins to wait.
         */
        @RepeatedTest(20)
        void queuedConnectionsAreAnswered() throws IOException {
            connectAndExpect(MAX_SERVED, SERVED);
            connectAndExpect(MAX_REFUSED, REFUSED);
            List<Socket> queued = new ArrayList<>();
            for (int i = 0; i < QUEUED; i++) {
                queued.add(connect());
            }
            release.countDown();
            listener.closeWhenDrained(MAX_DRAIN);
            for (Socket s : queued) {
                assertTrue(s.getInputStream().read() > 0, "no answer");
            }
        }
    }
}
