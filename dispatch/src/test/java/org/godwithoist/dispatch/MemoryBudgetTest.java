package org.godwithoist.dispatch;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.godwithoist.core.task.Tasks;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MemoryBudgetTest {
    private static final long HEAP_BYTES = 40L << 20;
    private static final int HIGHEST_PRIORITY = 0;
    private static final int LOW_PRIORITY = 5;

    private final MemoryBudget budget = MemoryBudget.ofHeap(HEAP_BYTES);

    /** Reserves memory for requests until one is refused, and returns their number. */
    private int fill(int priority) {
        int admitted = 0;
        while (true) {
            try {
                budget.requestStarted(priority, 0, () -> false);
                admitted++;
            } catch (RefusedException e) {
                assertEquals(Refusal.NO_MEMORY, e.refusal());
                return admitted;
            }
        }
    }

    @Nested
    final class RequestsInProgress {
        /** Guards against a limit that leaves no memory for connections and garbage. */
        @Test
        void useLessThanHalfOfTheHeap() {
            assertTrue(fill(HIGHEST_PRIORITY) > 0);
            assertTrue(budget.reservedBytes() <= budget.limitBytes());
            assertTrue(budget.limitBytes() < HEAP_BYTES / 2);
        }

        /**
         * Guards against a daemon that refuses urgent requests while it admits less urgent ones.
         */
        @Test
        void lessUrgentOnesLeaveMemoryToMoreUrgentOnes() {
            fill(LOW_PRIORITY);
            assertTrue(fill(HIGHEST_PRIORITY) > 0);
            assertEquals(0, fill(LOW_PRIORITY));
        }

        /** Guards against memory that stays reserved after the end of a request. */
        @Test
        void releaseTheirMemoryAtTheirEnd() throws RefusedException {
            budget.requestStarted(HIGHEST_PRIORITY, 0, () -> false);
            budget.requestEnded();
            assertEquals(0, budget.reservedBytes());
        }
    }

    @Nested
    final class Bodies {
        /** Guards against a few large bodies that displace all other requests. */
        @Test
        void leaveMemoryToRequestsWithoutOne() {
            assertThrows(RefusedException.class, () -> budget.reserveBody(budget.limitBytes() - 1));
            assertEquals(0, budget.reservedBytes());
            assertDoesNotThrow(() -> budget.reserveBody(budget.limitBytes() / 2));
            assertTrue(fill(LOW_PRIORITY) > 0);
        }

        /** Guards against requests with a small body that may use a part of the memory only. */
        @Test
        void doNotCountWhatOtherRequestsUse() throws RefusedException {
            while (budget.reservedBytes() < budget.limitBytes() * 0.9) {
                budget.requestStarted(HIGHEST_PRIORITY, 0, () -> false);
            }
            assertDoesNotThrow(() -> budget.reserveBody(1000));
        }

        /** Guards against a chunked body that keeps the memory of its growth while it is served. */
        @Test
        void canReleaseAPart() throws RefusedException {
            MemoryBudget.Reservation body = budget.reserveBody(3000);
            body.shrinkTo(1000);
            assertEquals(1000, budget.reservedBytes());
            body.close();
            assertEquals(0, budget.reservedBytes());
        }
    }

    @Nested
    final class Relief {
        private MemoryBudget.Reservation stalled;

        private boolean releaseStalled() {
            boolean held = stalled.bytes() > 0;
            stalled.close();
            return held;
        }

        /** Guards against bodies without progress that keep the memory of all other requests. */
        @Test
        void makesRoomForABodyThatWouldBeRefused() throws RefusedException {
            MemoryBudget relieved = MemoryBudget.ofHeap(HEAP_BYTES, this::releaseStalled);
            stalled = relieved.reserveBody(relieved.limitBytes() * 7 / 10);
            assertDoesNotThrow(() -> relieved.reserveBody(relieved.limitBytes() / 2));
            assertEquals(0, relieved.refusals());
        }

        /** Guards against connections that are closed for a body that never fits. */
        @Test
        void isNotAskedForABodyBeyondTheLimit() throws RefusedException {
            MemoryBudget relieved = MemoryBudget.ofHeap(HEAP_BYTES, this::releaseStalled);
            stalled = relieved.reserveBody(relieved.limitBytes() / 10);
            assertThrows(RefusedException.class, () -> relieved.reserveBody(relieved.limitBytes()));
            assertTrue(stalled.bytes() > 0, "the stalled connection was closed");
        }

        /** Guards against a wait for room that nothing will make. */
        @Test
        void isNotAwaitedIfNothingGivesWay() throws RefusedException {
            MemoryBudget relieved = MemoryBudget.ofHeap(HEAP_BYTES, this::releaseStalled);
            stalled = relieved.emptyReservation(MemoryBudget.Use.BODY);
            relieved.reserveBody(relieved.limitBytes() * 7 / 10);
            assertThrows(
                    RefusedException.class, () -> relieved.reserveBody(relieved.limitBytes() / 2));
            assertEquals(1, relieved.refusals());
        }
    }

    /** Load: more clients than fit into the memory ask for it again and again. */
    @Nested
    final class ReservationsThatWait {
        private static final int STEP_BYTES = 10_000;
        private static final int LARGE_BYTES = 9 * STEP_BYTES;

        private final MemoryBudget waited = MemoryBudget.ofHeap(HEAP_BYTES, new LikelyRelief());
        private final Deque<MemoryBudget.Reservation> held = new ArrayDeque<>();

        /** Relief by connections that are likely to stall soon. */
        private static final class LikelyRelief implements MemoryBudget.Relief {
            @Override
            public boolean makeRoom() {
                return false;
            }

            @Override
            public boolean mayMakeRoom() {
                return true;
            }
        }

        private void fillBodies() throws RefusedException {
            while (waited.reservedBytes() + STEP_BYTES <= waited.limitBytes() * 0.75) {
                held.add(waited.reserveBody(STEP_BYTES));
            }
        }

        private CompletableFuture<MemoryBudget.Reservation> reserve(int bytes, int nowWaiting) {
            CompletableFuture<MemoryBudget.Reservation> reservation = new CompletableFuture<>();
            Tasks.start(
                    "reserve",
                    () -> {
                        try {
                            reservation.complete(waited.reserveBody(bytes));
                        } catch (RefusedException e) {
                            reservation.completeExceptionally(e);
                        }
                    });
            while (waited.waiting() < nowWaiting && !reservation.isDone()) {
                Tasks.sleep(Duration.ofMillis(1));
            }
            return reservation;
        }

        /** Guards against clients that take each freed byte before the request that waits. */
        @Test
        void areMetInTheOrderOfTheirArrival() throws Exception {
            fillBodies();
            CompletableFuture<MemoryBudget.Reservation> large = reserve(LARGE_BYTES, 1);
            CompletableFuture<MemoryBudget.Reservation> small = reserve(STEP_BYTES, 2);
            for (int i = 0; i < LARGE_BYTES / STEP_BYTES - 1; i++) {
                held.remove().close();
                assertEquals(2, waited.waiting(), "the small one took what the large one needs");
            }
            held.remove().close();
            assertEquals(LARGE_BYTES, large.get().bytes());
            assertFalse(small.isDone());
            held.remove().close();
            assertEquals(STEP_BYTES, small.get().bytes());
        }

        /** Guards against a request without a body that waits for memory for bodies. */
        @Test
        void concernNoRequestThatNeedsNoMemory() throws Exception {
            fillBodies();
            CompletableFuture<MemoryBudget.Reservation> large = reserve(LARGE_BYTES, 1);
            assertEquals(0, reserve(0, 2).get().bytes());
            assertFalse(large.isDone());
        }

        /** Guards against a claim that is left behind and keeps memory from all others. */
        @Test
        void endWithAFailureOfTheRelief() throws Exception {
            MemoryBudget.Relief failing =
                    () -> {
                        throw new IllegalStateException("no relief");
                    };
            MemoryBudget failed = MemoryBudget.ofHeap(HEAP_BYTES, failing);
            MemoryBudget.Reservation half = failed.reserveBody(failed.limitBytes() / 2);
            assertThrows(
                    IllegalStateException.class, () -> failed.reserveBody(failed.limitBytes() / 2));
            assertEquals(0, failed.waiting());
            assertEquals(half.bytes(), failed.reservedBytes());
        }

        /** Guards against complete bodies that keep their memory while others get the rest. */
        @Test
        void requestsWithALargeBodyGoFirst() throws Exception {
            fillBodies();
            MemoryBudget.Reservation body = held.remove();
            while (waited.reservedBytes() + STEP_BYTES <= waited.limitBytes()) {
                held.add(waited.emptyReservation(MemoryBudget.Use.RESPONSE));
                held.getLast().grow(STEP_BYTES);
            }
            CompletableFuture<MemoryBudget.Reservation> other = reserve(STEP_BYTES, 1);
            CompletableFuture<Boolean> request = new CompletableFuture<>();
            Tasks.start(
                    "request",
                    () -> {
                        try {
                            waited.requestStarted(HIGHEST_PRIORITY, LARGE_BYTES, () -> false);
                            request.complete(true);
                        } catch (RefusedException e) {
                            request.completeExceptionally(e);
                        }
                    });
            while (waited.waiting() < 2) {
                Tasks.sleep(Duration.ofMillis(1));
            }
            body.close();
            assertEquals(2, waited.waiting(), "a request without a body took the memory");
            held.removeLast().close();
            held.removeLast().close();
            assertTrue(request.get());
            held.removeLast().close();
            assertEquals(STEP_BYTES, other.get().bytes());
        }

        /** Guards against uploads that all stop half-way, while none is completed. */
        @Test
        void largeBodiesThatHoldMostGoFirst() throws Exception {
            MemoryBudget.Reservation less = waited.emptyReservation(MemoryBudget.Use.LARGE_BODY);
            MemoryBudget.Reservation more = waited.emptyReservation(MemoryBudget.Use.LARGE_BODY);
            MemoryBudget.Reservation rest = waited.emptyReservation(MemoryBudget.Use.LARGE_BODY);
            less.grow(LARGE_BYTES);
            more.grow(2 * LARGE_BYTES);
            rest.grow((long) (waited.limitBytes() * 0.6) - 3 * LARGE_BYTES);
            CompletableFuture<MemoryBudget.Reservation> second = grow(less, 1);
            CompletableFuture<MemoryBudget.Reservation> first = grow(more, 2);
            rest.shrinkTo(rest.bytes() - STEP_BYTES);
            assertEquals(2 * LARGE_BYTES + STEP_BYTES, first.get().bytes());
            assertFalse(second.isDone());
        }

        private CompletableFuture<MemoryBudget.Reservation> grow(
                MemoryBudget.Reservation reservation, int nowWaiting) {
            CompletableFuture<MemoryBudget.Reservation> grown = new CompletableFuture<>();
            Tasks.start(
                    "grow",
                    () -> {
                        try {
                            reservation.grow(STEP_BYTES);
                            grown.complete(reservation);
                        } catch (RefusedException e) {
                            grown.completeExceptionally(e);
                        }
                    });
            while (waited.waiting() < nowWaiting && !grown.isDone()) {
                Tasks.sleep(Duration.ofMillis(1));
            }
            return grown;
        }

        /** Guards against a caller that has left and keeps its place before those that wait. */
        @Test
        void endWithTheirCaller() throws Exception {
            fillBodies();
            AtomicBoolean hasLeft = new AtomicBoolean();
            MemoryBudget.Reservation leaving =
                    waited.emptyReservation(MemoryBudget.Use.BODY, hasLeft::get);
            CompletableFuture<MemoryBudget.Reservation> left = new CompletableFuture<>();
            Tasks.start(
                    "leave",
                    () -> {
                        try {
                            leaving.grow(LARGE_BYTES);
                        } catch (RefusedException e) {
                            left.completeExceptionally(e);
                        }
                    });
            while (waited.waiting() == 0) {
                Tasks.sleep(Duration.ofMillis(1));
            }
            CompletableFuture<MemoryBudget.Reservation> staying = reserve(STEP_BYTES, 2);
            hasLeft.set(true);
            assertThrows(ExecutionException.class, left::get);
            assertEquals(1, waited.waiting());
            held.remove().close();
            assertEquals(STEP_BYTES, staying.get().bytes());
        }

        /** Guards against requests that wait although all memory is used by running ones. */
        @Test
        void areRefusedAtOnceWithoutRelief() throws RefusedException {
            budget.reserveBody(budget.limitBytes() * 7 / 10);
            long start = System.nanoTime();
            assertThrows(RefusedException.class, () -> budget.reserveBody(LARGE_BYTES * 10));
            assertTrue(System.nanoTime() - start < 1_000_000_000L);
        }
    }
}
