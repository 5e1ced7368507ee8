package org.godwithoist.dispatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.OptionalInt;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.RefusedException;
import org.godwithoist.dispatch.RequestConstraints;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class BodyMemoryTest {
    private static final RequestConstraints CONSTRAINTS = RequestConstraints.DEFAULT;
    private static final int SMALL_BYTES = CONSTRAINTS.smallBodyBytes();
    private static final int LARGE_BYTES = 4 << 20;
    private static final int STEP_BYTES = 8192;

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

    private BodyMemory memory(OptionalInt announced) {
        ConnectionActivity activity = new ConnectionActivity(socket, CONSTRAINTS, Ticker.SYSTEM);
        return new BodyMemory(budget, CONSTRAINTS, activity, announced);
    }

    /** Records the arrival of a body and checks what is reserved for it meanwhile. */
    private void arrive(BodyMemory memory, int size, double maxFactor) throws RefusedException {
        for (int i = STEP_BYTES; i <= size; i += STEP_BYTES) {
            memory.arrived(i);
            long reserved = budget.reservedBytes();
            double max = Math.max(SMALL_BYTES, maxFactor * i) + 4 * STEP_BYTES;
            int arrived = i;
            assertTrue(reserved >= arrived, () -> reserved + " for " + arrived);
            assertTrue(reserved <= max, () -> reserved + " for " + arrived);
        }
    }

    @Nested
    final class AnnouncedBodies {
        /** Guards against callers that announce much, send nothing and take the room of others. */
        @Test
        void takeNothingBeforeTheyArrive() {
            BodyMemory memory = memory(OptionalInt.of(LARGE_BYTES));
            assertEquals(0, budget.reservedBytes());
            memory.close();
        }

        /** Guards against small bodies that stop half-way because others took the rest. */
        @Test
        void areReservedCompletelyIfTheyAreSmall() throws RefusedException {
            try (BodyMemory memory = memory(OptionalInt.of(SMALL_BYTES))) {
                memory.arrived(1);
                assertTrue(budget.reservedBytes() >= SMALL_BYTES);
            }
            assertEquals(0, budget.reservedBytes());
        }

        /** Guards against large bodies that hold what has not arrived. */
        @Test
        void takeAtMostTwiceWhatHasArrivedIfTheyAreLarge() throws RefusedException {
            try (BodyMemory memory = memory(OptionalInt.of(LARGE_BYTES))) {
                arrive(memory, LARGE_BYTES, 2);
                memory.completed(LARGE_BYTES);
                assertEquals(LARGE_BYTES, budget.reservedBytes());
            }
            assertEquals(0, budget.reservedBytes());
        }

        /** Guards against large bodies that take the memory of small ones. */
        @Test
        void leaveRoomToSmallOnesIfTheyAreLarge() throws RefusedException {
            try (BodyMemory first = memory(OptionalInt.of(LARGE_BYTES));
                    BodyMemory second = memory(OptionalInt.of(LARGE_BYTES));
                    BodyMemory third = memory(OptionalInt.of(LARGE_BYTES));
                    BodyMemory small = memory(OptionalInt.of(SMALL_BYTES))) {
                first.arrived(LARGE_BYTES);
                second.arrived(LARGE_BYTES);
                assertThrows(RefusedException.class, () -> third.arrived(LARGE_BYTES));
                small.arrived(1);
            }
            assertEquals(0, budget.reservedBytes());
        }
    }

    @Nested
    final class OneLargeBody {
        /** Guards against a body within the limit of a catalog that is refused in calm. */
        @Test
        void mayUseAllMemoryForBodies() throws RefusedException {
            int size = (int) (budget.limitBytes() * 0.74);
            try (BodyMemory announced = memory(OptionalInt.of(size))) {
                arrive(announced, size, 2);
            }
            try (BodyMemory chunked = memory(OptionalInt.empty())) {
                arrive(chunked, size, 1);
            }
            assertEquals(0, budget.reservedBytes());
        }
    }

    @Nested
    final class ChunkedBodies {
        /** Guards against chunked bodies that hold more than what has arrived. */
        @Test
        void takeWhatHasArrived() throws RefusedException {
            try (BodyMemory memory = memory(OptionalInt.empty())) {
                arrive(memory, LARGE_BYTES, 1);
            }
            assertEquals(0, budget.reservedBytes());
        }

        /** Guards against a chunked body that grows beyond what other large bodies leave. */
        @Test
        void countAsLargeOnesFromTheirSizeOn() throws RefusedException {
            try (BodyMemory first = memory(OptionalInt.of(LARGE_BYTES));
                    BodyMemory second = memory(OptionalInt.of(LARGE_BYTES));
                    BodyMemory chunked = memory(OptionalInt.empty())) {
                first.arrived(LARGE_BYTES);
                second.arrived(LARGE_BYTES);
                chunked.arrived(SMALL_BYTES);
                assertThrows(RefusedException.class, () -> chunked.arrived(LARGE_BYTES / 2));
            }
            assertEquals(0, budget.reservedBytes());
        }
    }
}
