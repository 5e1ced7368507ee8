package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.RequestConstraints;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StalledConnectionsTest {
    private static final RequestConstraints CONSTRAINTS = RequestConstraints.DEFAULT;
    private static final long HEAP_BYTES = 24L << 20;

    private final AtomicLong now = new AtomicLong();
    private final StalledConnections connections = StalledConnections.ofHeap(HEAP_BYTES);
    private final List<Socket> peers = new ArrayList<>();
    private final List<ReadAheadSocket> sockets = new ArrayList<>();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        for (Socket s : peers) {
            s.close();
        }
        sockets.forEach(ReadAheadSocket::close);
        server.close();
    }

    private ConnectionActivity open(ConnectionActivity.Phase phase) throws IOException {
        peers.add(new Socket(server.getInetAddress(), server.getLocalPort()));
        ReadAheadSocket socket = new ReadAheadSocket(server.accept(), "caller", Ticker.SYSTEM);
        sockets.add(socket);
        ConnectionActivity activity = new ConnectionActivity(socket, CONSTRAINTS, now::get);
        activity.enter(phase);
        connections.add(activity);
        return activity;
    }

    private void pass(Duration time) {
        now.addAndGet(time.toNanos());
    }

    private List<Boolean> closed() {
        return sockets.stream().map(ReadAheadSocket::isClosedByThisSide).toList();
    }

    @Nested
    final class ConnectionsThatMakeProgress {
        /** Guards against an ordinary request that is cut to make room. */
        @Test
        void doNotGiveWay() throws IOException {
            ConnectionActivity receiving = open(ConnectionActivity.Phase.RECEIVING);
            open(ConnectionActivity.Phase.OTHER);
            pass(CONSTRAINTS.maxReceiveStall().minusMillis(1));
            assertFalse(connections.makeRoom());
            receive(receiving, CONSTRAINTS.minBytesPerSecond());
            pass(CONSTRAINTS.maxReceiveStall().minusMillis(1));
            assertFalse(connections.makeRoom());
            assertEquals(List.of(false, false), closed());
        }

        private void receive(ConnectionActivity receiving, int bytes) throws IOException {
            peers.getFirst().getOutputStream().write(new byte[bytes]);
            assertEquals(bytes, receiving.input().readNBytes(bytes).length);
        }

        /** Guards against a caller that keeps its memory by staying just above a bound. */
        @Test
        void sendAtARateThatOtherCallersWouldSend() throws IOException {
            ConnectionActivity receiving = open(ConnectionActivity.Phase.RECEIVING);
            Duration quarter = CONSTRAINTS.maxReceiveStall().dividedBy(4);
            for (int i = 0; i < 20; i++) {
                receive(receiving, CONSTRAINTS.minBytesPerSecond() / 4);
                pass(quarter);
                assertFalse(connections.makeRoom());
            }
            for (int i = 0; i < 8; i++) {
                receive(receiving, CONSTRAINTS.minBytesPerSecond() / 16);
                pass(quarter);
            }
            assertTrue(connections.makeRoom());
        }

        /** Guards against a caller that is measured anew with each write, or each growth. */
        @Test
        void areMeasuredAcrossPauses() throws IOException {
            ConnectionActivity sending = open(ConnectionActivity.Phase.SENDING);
            Duration half = CONSTRAINTS.maxSendStall().dividedBy(2);
            pass(half);
            sending.enter(ConnectionActivity.Phase.OTHER);
            pass(CONSTRAINTS.maxSendStall());
            assertFalse(connections.makeRoom());
            sending.enter(ConnectionActivity.Phase.SENDING);
            pass(half.minusMillis(1));
            assertFalse(connections.makeRoom());
            pass(Duration.ofMillis(1));
            assertTrue(connections.makeRoom());
        }

        /** Guards against a caller that keeps its memory by a byte now and then. */
        @Test
        void sendMoreThanAByteNowAndThen() throws IOException {
            ConnectionActivity receiving = open(ConnectionActivity.Phase.RECEIVING);
            peers.getFirst().getOutputStream().write('x');
            pass(CONSTRAINTS.maxReceiveStall().minusMillis(1));
            assertEquals(1, receiving.input().read(new byte[1], 0, 1));
            pass(Duration.ofMillis(2));
            assertTrue(connections.makeRoom());
            assertEquals(List.of(true), closed());
        }
    }

    @Nested
    final class StalledOnes {
        /** Guards against a response that is cut while a request without an end could be. */
        @Test
        void giveWayBeforeTheirRequestIsComplete() throws IOException {
            open(ConnectionActivity.Phase.SENDING);
            pass(CONSTRAINTS.maxSendStall());
            open(ConnectionActivity.Phase.RECEIVING);
            pass(CONSTRAINTS.maxReceiveStall());
            assertTrue(connections.makeRoom());
            assertEquals(List.of(false, true), closed());
            assertTrue(connections.makeRoom());
            assertEquals(List.of(true, true), closed());
            assertFalse(connections.makeRoom());
            assertEquals(2, connections.closed());
        }

        /** Guards against many small requests that are cut for the memory of a large one. */
        @Test
        void giveWayByTheMemoryThatTheyHold() throws IOException {
            open(ConnectionActivity.Phase.RECEIVING);
            open(ConnectionActivity.Phase.RECEIVING).holdBody(100_000);
            pass(CONSTRAINTS.maxReceiveStall());
            assertTrue(connections.makeRoom());
            assertEquals(List.of(false, true), closed());
        }
    }

    /** Load: clients that send their heads slowly, beside callers that do not read. */
    @Nested
    final class MemoryRelief {
        /** Guards against closing connections that hold none of the memory that is short. */
        @Test
        void comesFromConnectionsThatHoldMemory() throws IOException {
            open(ConnectionActivity.Phase.RECEIVING);
            ConnectionActivity sending = open(ConnectionActivity.Phase.SENDING);
            pass(CONSTRAINTS.maxSendStall());
            assertTrue(connections.memoryRelief().makeRoom());
            assertEquals(List.of(false, true), closed());
            assertFalse(connections.memoryRelief().makeRoom());
            connections.remove(sending);
            assertFalse(connections.memoryRelief().mayMakeRoom());
            assertTrue(connections.mayMakeRoom());
        }
    }

    /** Load: clients that stall, more than fit into the memory, and reconnect when closed. */
    @Nested
    final class Crowds {
        private static final int BODY_BYTES = 300_000;
        private static final long MAX_ARRIVAL_NANOS = 10_000_000_000L;

        private void openCrowd(int size) throws IOException {
            for (int i = 0; i < size; i++) {
                open(ConnectionActivity.Phase.RECEIVING).holdBody(BODY_BYTES);
            }
        }

        /** Guards against ordinary requests that find the memory held by clients that stall. */
        @Test
        void giveWaySoonerIfTheyHoldMuchOfTheMemory() throws IOException {
            openCrowd(8);
            pass(CONSTRAINTS.maxReceiveStall().dividedBy(4));
            assertTrue(connections.makeRoom());
        }

        /** Guards against callers behind a slow link that are closed although there is memory. */
        @Test
        void areNotAFewConnections() throws IOException {
            openCrowd(4);
            pass(CONSTRAINTS.maxReceiveStall().dividedBy(4));
            assertFalse(connections.makeRoom());
            assertTrue(connections.mayMakeRoom());
        }

        /** Guards against a daemon that is late itself and closes callers for it. */
        @Test
        void doNotIncludeWhatTheDaemonHasNotRead() throws Exception {
            openCrowd(8);
            for (int i = 0; i < peers.size(); i++) {
                peers.get(i).getOutputStream().write('x');
                assertTrue(sockets.get(i).awaitInput(System.nanoTime() + MAX_ARRIVAL_NANOS));
            }
            pass(CONSTRAINTS.maxReceiveStall());
            assertFalse(connections.makeRoom());
        }
    }
}
