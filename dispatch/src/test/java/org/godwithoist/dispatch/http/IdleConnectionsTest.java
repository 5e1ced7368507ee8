package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.godwithoist.core.time.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class IdleConnectionsTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final IdleConnections idle = new IdleConnections(Ticker.SYSTEM);
    private Socket caller;
    private ReadAheadSocket socket;

    @BeforeEach
    void connect() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            caller = new Socket(server.getInetAddress(), server.getLocalPort());
            socket = new ReadAheadSocket(server.accept(), "caller", Ticker.SYSTEM);
        }
        idle.add(socket);
    }

    @AfterEach
    void close() throws IOException {
        caller.close();
        socket.close();
    }

    /** Scenario: each host is stopped while it responds to a request ({@code roll_term busy}). */
    @Nested
    final class StopWhileRequestsArrive {
        /** Guards against forwarding a request whose connection was closed as idle. */
        @Test
        void connectionClosedAsIdleCannotBeClaimed() {
            assertEquals(1, idle.closeAll());
            assertFalse(idle.claim(socket));
        }

        /** Guards against a caller whose new connection is closed before its request arrives. */
        @Test
        void connectionThatWasJustOpenedStaysOpen() {
            assertEquals(0, idle.closeIdleFor(Duration.ofMinutes(1)));
            assertTrue(socket.isIdle());
            assertEquals(1, idle.closeIdleFor(Duration.ZERO));
            assertTrue(socket.isEnded());
        }

        /** Guards against a connection that is still open when the process ends. */
        @Test
        void connectionsThatBecomeIdleAfterTheEndAreClosed() {
            assertTrue(idle.claim(socket));
            idle.close();
            idle.add(socket);
            assertTrue(socket.isEnded());
            assertTrue(idle.isEmpty());
            assertFalse(idle.claim(socket));
        }

        /** Guards against closing a connection whose request has arrived and is not claimed yet. */
        @Test
        void connectionWithAnUnclaimedRequestStaysOpen() throws IOException {
            caller.getOutputStream().write('G');
            assertTrue(socket.awaitInput(Ticker.SYSTEM.nanos() + TIMEOUT_NANOS));
            assertEquals(0, idle.closeAll());
            assertTrue(idle.claim(socket));
        }

        /** Guards against the same on a host with more work than processors. */
        @Test
        void connectionWhoseRequestNoTaskHasReadStaysOpen() throws Exception {
            try (BusyScheduler _ = new BusyScheduler()) {
                caller.getOutputStream().write('G');
                assertEquals(0, idle.closeAll());
                assertEquals(0, idle.closeIdleFor(Duration.ZERO));
            }
            assertTrue(idle.claim(socket));
        }

        /** Guards against closing a connection with a request in progress. */
        @Test
        void claimedConnectionStaysOpen() {
            assertTrue(idle.claim(socket));
            assertEquals(0, idle.closeAll());
            assertTrue(socket.isIdle());
        }
    }
}
