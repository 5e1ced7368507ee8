package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.HttpException;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.RequestConstraints;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HeadMemoryTest {
    private static final int MAX_LINE_BYTES = 16_384;
    private static final String START = "GET / HTTP/1.1\r\nHost: a\r\n";

    private final MemoryBudget budget = MemoryBudget.ofHeap(40L << 20);
    private ReadAheadSocket socket;
    private Socket peer;

    @BeforeEach
    void connect() throws IOException {
        try (var server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            peer = new Socket(server.getInetAddress(), server.getLocalPort());
            socket = new ReadAheadSocket(server.accept(), "caller", Ticker.SYSTEM);
        }
    }

    @AfterEach
    void close() throws IOException {
        socket.close();
        peer.close();
    }

    private HeadMemory memory(MemoryBudget of) {
        RequestConstraints constraints = RequestConstraints.DEFAULT;
        return new HeadMemory(
                of, constraints, new ConnectionActivity(socket, constraints, Ticker.SYSTEM));
    }

    private static void read(String head, HeadMemory memory) throws IOException, HttpException {
        byte[] bytes = head.getBytes(StandardCharsets.US_ASCII);
        new MessageReader(new ByteArrayInputStream(bytes), MAX_LINE_BYTES).readRequest(memory);
    }

    @Nested
    final class HeadsOfOrdinaryRequests {
        /** Guards against ordinary requests that are refused because of the memory for heads. */
        @Test
        void areNotCounted() throws Exception {
            try (HeadMemory memory = memory(budget)) {
                read(START + "X-Field: value\r\n".repeat(8) + "\r\n", memory);
                assertEquals(0, budget.reservedBytes());
            }
        }
    }

    /** Load: callers whose body arrives together with their head. */
    @Nested
    final class BytesBehindAHead {
        private static final String CHUNKS = "1\r\nx\r\n".repeat(100);

        /** Guards against callers with small heads that take the memory for heads. */
        @Test
        void areNotCounted() throws Exception {
            try (HeadMemory memory = memory(budget)) {
                read(START + "\r\n" + CHUNKS, memory);
                assertEquals(0, budget.reservedBytes());
            }
        }

        /** Guards against heads that are read with the request before them and not counted. */
        @Test
        void areCountedIfTheyBeginTheNextHead() throws Exception {
            byte[] bytes =
                    (START + "\r\n" + START + "a:\n".repeat(100) + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
            MessageReader reader =
                    new MessageReader(new ByteArrayInputStream(bytes), MAX_LINE_BYTES);
            try (HeadMemory first = memory(budget)) {
                reader.readRequest(first);
                assertEquals(0, budget.reservedBytes());
            }
            try (HeadMemory second = memory(budget)) {
                reader.readRequest(second);
                assertTrue(budget.reservedBytes() >= 30_000, () -> "" + budget.reservedBytes());
            }
        }
    }

    @Nested
    final class LargeHeads {
        private static final String MANY_FIELDS = START + "a: b\r\n".repeat(190) + "\r\n";

        /** Guards against fields that cost more memory than their bytes and are not counted. */
        @Test
        void areCountedByTheirFieldsUntilTheEndOfTheRequest() throws Exception {
            try (HeadMemory memory = memory(budget)) {
                read(MANY_FIELDS, memory);
                assertTrue(budget.reservedBytes() >= 60_000, () -> "" + budget.reservedBytes());
            }
            assertEquals(0, budget.reservedBytes());
        }

        /** Guards against heads that are read although there is no memory for them. */
        @Test
        void areRefusedWithoutMemory() {
            try (HeadMemory memory = memory(MemoryBudget.ofHeap(100_000))) {
                assertThrows(HeadMemory.NoMemoryException.class, () -> read(MANY_FIELDS, memory));
            }
        }
    }
}
