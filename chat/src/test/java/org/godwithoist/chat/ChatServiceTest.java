package org.godwithoist.chat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.godwithoist.accounting.Usage;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.id.WorkspaceId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.ServiceState;
import org.godwithoist.routing.PlacementChange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lost or repeated tokens, wrong run states, and slots or usage records that stay
 * open when engines, slots or callers fail.
 */
final class ChatServiceTest {
    private static final ChatTimings SHORT_TIMEOUTS =
            ChatTimings.DEFAULT
                    .withStallTimeout(Duration.ofMillis(200))
                    .withReconnectTimeout(Duration.ofMillis(400))
                    .withRetryBudgetTimeout(Duration.ofMillis(200));

    private static final ChatId CHAT = new ChatId("antwerp/chat");

    private final Fleet fleet = new Fleet(2);
    private final ChatService service = fleet.daemon("daemon-1", SHORT_TIMEOUTS);
    private final ChatService otherDaemon = fleet.daemon("daemon-2", SHORT_TIMEOUTS);
    private final CollectingSink caller = new CollectingSink();
    private int expectedUnsettled;

    /** Guards against paths that leak a slot or settle other usage than the engines recorded. */
    @AfterEach
    void slotsAreReleasedAndUsageIsSettled() {
        awaitCondition(() -> fleet.openAttempts.size() == expectedUnsettled);
        if (expectedUnsettled == 0) {
            awaitCondition(() -> fleet.slotsInUseCount() == 0);
            assertEquals(fleet.engines.recordedUsage(), fleet.recordedUsage());
            awaitCondition(() -> service.inProgress() == 0);
        }
    }

    private static void awaitCondition(BooleanSupplier condition) {
        for (int i = 0; i < 400 && !condition.getAsBoolean(); i++) {
            Tasks.sleep(Duration.ofMillis(10));
        }
        assertTrue(condition.getAsBoolean());
    }

    private static ChatRequest request(Duration deadline, Optional<Long> resumeAfter) {
        return Fleet.request("antwerp", deadline, resumeAfter);
    }

    private static ChatRequest request() {
        return request(Duration.ofSeconds(10), Optional.empty());
    }

    private static ChatRequest resume(long after) {
        return request(Duration.ofSeconds(10), Optional.of(after));
    }

    private void place(PlacementChange.Kind kind, TargetId target, long tokens) {
        var change = new PlacementChange(kind, target, tokens, Optional.empty());
        fleet.placements.report(CHAT, change);
    }

    /** Places the chat at the first engine, so that the test knows which engine is used. */
    private void placeAtFirstEngine() {
        place(PlacementChange.Kind.FINISHED, Fleet.id(1), 90);
    }

    private void serve() {
        placeAtFirstEngine();
        service.serve(request(), caller);
        assertComplete(caller);
    }

    private RequestException assertFails(ChatRequest request) {
        placeAtFirstEngine();
        return assertThrows(RequestException.class, () -> service.serve(request, caller));
    }

    private RequestException assertFails(ErrorCode code, RunState state, Duration deadline) {
        RequestException e = assertFails(request(deadline, Optional.empty()));
        assertEquals(code, e.code(), e.getMessage());
        assertEquals(state, e.runState());
        return e;
    }

    private static void assertComplete(CollectingSink sink) {
        assertEquals(FakeEngines.completeText(), sink.text.toString());
        assertEquals(LongStream.rangeClosed(1, FakeEngines.WORDS).boxed().toList(), sink.offsets);
        assertTrue(sink.end != null);
    }

    private int countCalls(String prefix) {
        return (int) fleet.engines.calls.stream().filter(c -> c.startsWith(prefix)).count();
    }

    /** Guards against lost or repeated tokens when an engine crashes. */
    @Nested
    final class EngineCrash {
        @ParameterizedTest
        @ValueSource(ints = {0, 1, 4, 8})
        void anotherEngineContinuesWithEachTokenOnce(int event) {
            fleet.engine(1).crashAt = event;
            expectedUnsettled = 1;
            serve();
            assertEquals(1, countCalls("open engine-2"));
            assertEquals(1, caller.end.unsettledAttempts());
            Usage second = fleet.engine(2).usage.values().iterator().next();
            assertEquals(second, caller.end.usage());
            assertEquals(FakeEngines.WORDS - event, second.completionTokens());
        }

        @Test
        void unreachableEngineDoesNotCountAsRun() {
            fleet.engine(1).crashed = true;
            serve();
            assertEquals(0, caller.end.unsettledAttempts());
        }

        @ParameterizedTest
        @ValueSource(ints = {0, 3})
        void runStateIsUnknownAfterACrashedEngineHadTheRequest(int event) {
            fleet.engine(1).crashAt = event;
            fleet.engine(2).crashed = true;
            expectedUnsettled = 1;
            var e = assertFails(ErrorCode.TARGET_FAILED, RunState.UNKNOWN, Duration.ofSeconds(2));
            assertTrue(e.retryAfter().isPresent());
        }

        @Test
        void responseWithToolCallsIsNotContinued() {
            var buffer = new ReorderBuffer();
            buffer.add(new EngineEvent.Chunk(1, "", "{}", false));
            ChatResponse response = new ChatResponse(caller, 0, 0, Ticker.SYSTEM);
            assertTrue(response.isContinuable());
            response.append(buffer.poll().orElseThrow());
            assertFalse(response.isContinuable());
        }
    }

    /**
     * Guards against waiting on a connection that stays open but delivers nothing, while new ones
     * work.
     */
    @Nested
    final class UnresponsiveConnection {
        @ParameterizedTest
        @ValueSource(ints = {0, 1, 5, 8})
        void isReplacedAndTheSameEngineContinues(int event) {
            fleet.engine(1).unresponsiveAt = event;
            serve();
            assertEquals(0, countCalls("open engine-2"));
            assertEquals(1, countCalls("resume engine-1 " + event));
            assertEquals(1, countCalls("discard engine-1"));
            assertEquals(1, fleet.outcomes.getFirst().resumes());
            assertEquals(1, fleet.outcomes.getFirst().attempts());
        }

        @Test
        void isDetectedWithinASecondAndAHalf() {
            fleet.engine(1).unresponsiveAt = 3;
            long start = System.nanoTime();
            placeAtFirstEngine();
            fleet.daemon("daemon-3", ChatTimings.DEFAULT).serve(request(), caller);
            long ms = (System.nanoTime() - start) / 1_000_000;
            System.out.println("unresponsive connection detected and resumed after " + ms + " ms");
            assertComplete(caller);
            assertTrue(ms >= 1_000 && ms < 1_500, "took " + ms + " ms");
        }

        @Test
        void requestThatNeverArrivedIsRetried() {
            fleet.engine(1).unresponsiveAt = 0;
            fleet.engine(1).losesRequest = true;
            // The first attempt is settled by a separate task, which may end after the response.
            var settled = new CompletableFuture<Void>();
            fleet.engine(1).endGate = settled;
            Tasks.start(
                    "settle-first-attempt",
                    () -> {
                        awaitCondition(
                                () ->
                                        countCalls("open engine-1") == 2
                                                && fleet.openAttempts.size() == 1);
                        settled.complete(null);
                    });
            serve();
            assertEquals(0, caller.end.unsettledAttempts());
        }

        @Test
        void engineThatStaysUnresponsiveIsReplaced() {
            fleet.engine(1).unresponsiveAt = 3;
            fleet.engine(1).staysUnresponsive = true;
            serve();
            assertEquals(1, countCalls("open engine-2"));
        }
    }

    /** Guards against events that arrive twice, out of order or not at all. */
    @Nested
    final class EventsOutOfOrder {
        @Test
        void duplicatesAreDropped() {
            fleet.engine(1).sendsDuplicates = true;
            serve();
            assertEquals(0, countCalls("resume"));
        }

        @Test
        void reorderedEventsAreSorted() {
            fleet.engine(1).sendsOutOfOrder = true;
            serve();
            assertEquals(0, countCalls("resume"));
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 4, 7})
        void lostEventIsRequestedAgain(int offset) {
            fleet.engine(1).droppedOffset = offset;
            serve();
            assertEquals(1, countCalls("resume engine-1 " + (offset - 1)));
        }

        @Test
        void lateEventsAfterAResumeAreDropped() {
            ReorderBuffer buffer = new ReorderBuffer();
            buffer.add(new EngineEvent.Chunk(2, "b", "{}", true));
            buffer.restart();
            buffer.add(new EngineEvent.Chunk(1, "a", "{}", true));
            assertTrue(buffer.poll().isPresent());
            assertTrue(buffer.poll().isEmpty());
            buffer.add(new EngineEvent.Chunk(1, "a", "{}", true));
            assertTrue(buffer.poll().isEmpty());
            assertFalse(buffer.hasGap());
            assertEquals(1, buffer.lastOffset());
        }
    }

    /** Guards against wrong run states, charges and retries of requests that engines reject. */
    @Nested
    final class RejectedByEngine {
        @Test
        void anotherEngineServesAndTheRejectionIsNotCharged() {
            fleet.engine(1).rejection = EngineException.Kind.REJECTED;
            serve();
            assertEquals(1, caller.end.usage().requests());
        }

        @Test
        void byAllEnginesIsNotRun() {
            fleet.engine(1).rejection = EngineException.Kind.REJECTED;
            fleet.engine(2).rejection = EngineException.Kind.REJECTED;
            assertFails(ErrorCode.TARGET_FAILED, RunState.NOT_RUN, Duration.ofSeconds(1));
        }

        @Test
        void invalidContentIsNotSentToOtherEngines() {
            fleet.engine(1).rejection = EngineException.Kind.INVALID;
            assertFails(ErrorCode.BAD_REQUEST, RunState.NOT_RUN, Duration.ofSeconds(10));
            assertEquals(1, countCalls("open"));
        }

        @Test
        void engineFailureAfterSendingIsUnknown() {
            fleet.engine(1).rejection = EngineException.Kind.FAILED;
            fleet.engine(2).rejection = EngineException.Kind.FAILED;
            assertFails(ErrorCode.TARGET_FAILED, RunState.UNKNOWN, Duration.ofSeconds(1));
        }

        @Test
        void expiredSlotSendsNothingAndIsNoRetry() {
            fleet.expiringSlots.set(20);
            serve();
            assertEquals(0, fleet.expiringSlots.get());
            assertEquals(1, countCalls("open"));
        }
    }

    /**
     * Guards against requests that wait without a chance of a slot, exceed a limit or cannot meet
     * their deadline.
     */
    @Nested
    final class Limits {
        @Test
        void noSlotBeforeTheDeadlineIsNotRun() {
            fleet.capacity.put(Fleet.id(1), 0);
            fleet.capacity.put(Fleet.id(2), 0);
            var e = assertFails(ErrorCode.NO_CAPACITY, RunState.NOT_RUN, Duration.ofMillis(400));
            assertTrue(e.retryAfter().isPresent());
        }

        @Test
        void slotReleasedInTimeIsUsed() {
            fleet.capacity.put(Fleet.id(1), 0);
            fleet.capacity.put(Fleet.id(2), 0);
            Tasks.start(
                    "release-slot",
                    () -> {
                        Tasks.sleep(Duration.ofMillis(300));
                        fleet.capacity.put(Fleet.id(2), 1);
                    });
            serve();
        }

        @Test
        void unattainableDeadlineIsRejectedImmediately() {
            // A prefill of 100,000 tokens takes 10 s at the speed assumed without measurements.
            ChatRequest r = request(Duration.ofSeconds(2), Optional.empty());
            RequestException e = assertFails(r.withPromptTokens(100_000));
            assertEquals(ErrorCode.DEADLINE_EXCEEDED, e.code());
            assertEquals(RunState.NOT_RUN, e.runState());
            assertEquals(0, countCalls("open"));
        }

        @Test
        void deadlineThatPassesDuringTheResponseIsUnknownAndCancels() {
            fleet.engine(1).delayMs = 100;
            assertFails(ErrorCode.DEADLINE_EXCEEDED, RunState.UNKNOWN, Duration.ofMillis(350));
            awaitCondition(() -> countCalls("cancel engine-1") == 1);
        }

        @Test
        void workspaceOverItsLimitIsRejectedImmediately() {
            var limiter = new WorkspaceLimiter();
            var workspace = fleet.bundle().workspaces().get(new WorkspaceId("antwerp"));
            for (int i = 0; i < 3; i++) {
                limiter.acquire(workspace);
            }
            var e = assertThrows(RequestException.class, () -> limiter.acquire(workspace));
            assertEquals(ErrorCode.OVER_LIMIT, e.code());
            limiter.release(workspace.id());
            limiter.acquire(workspace);
        }

        @Test
        void exhaustedRetryBudgetFailsTheRequestWithItsRunState() {
            fleet.engine(2).rejection = EngineException.Kind.REJECTED;
            fleet.engine(1).rejection = EngineException.Kind.REJECTED;
            RequestException last = null;
            for (int i = 0; i < 3; i++) {
                last = assertFails(request(Duration.ofSeconds(2), Optional.empty()));
            }
            assertTrue(last.getMessage().contains("retry budget"), last.getMessage());
            assertTrue(countCalls("open") <= 13, "at most 10 retries for 3 requests");
        }

        @Test
        void drainingDaemonRejectsNewRequests() {
            service.drain();
            assertEquals(ErrorCode.NOT_READY, assertFails(request()).code());
            assertTrue(service.awaitIdle(Duration.ZERO));
        }
    }

    /** Guards against callers that are slow, disconnect or reconnect. */
    @Nested
    final class CallerConnection {
        @Test
        void slowCallerDoesNotMakeTheEngineLookUnresponsive() {
            caller.delay = Duration.ofMillis(250);
            serve();
            assertEquals(0, countCalls("resume"));
        }

        @Test
        void finalDisconnectCancelsAndChargesTheEnginesUsage() {
            fleet.engine(1).delayMs = 150;
            caller.disconnectsAfter = 2;
            RequestException e = assertFails(request());
            assertEquals(RunState.UNKNOWN, e.runState());
            awaitCondition(() -> countCalls("cancel engine-1") == 1);
        }

        @Test
        void reconnectToTheSameDaemonGetsTheRestOnce() throws Exception {
            fleet.engine(1).delayMs = 60;
            caller.disconnectsAfter = 3;
            var first = serveInBackground();
            caller.disconnected.await();
            CollectingSink reconnected = new CollectingSink();
            service.serve(resume(2), reconnected);
            first.get();
            assertEquals("w3 w4 w5 w6 w7 w8 ", reconnected.text.toString());
            assertEquals(3, reconnected.offsets.getFirst());
            assertNull(caller.end);
            assertEquals(1, countCalls("open"));
        }

        @Test
        void reconnectAfterTheEndGetsTheRestFromMemory() {
            serve();
            CollectingSink reconnected = new CollectingSink();
            service.serve(resume(6), reconnected);
            assertEquals("w7 w8 ", reconnected.text.toString());
            assertEquals(caller.end, reconnected.end);
        }

        @Test
        void reusedRequestIdIsChargedAgain() {
            serve();
            service.serve(request(), new CollectingSink());
            assertEquals(2, fleet.recordedUsage().requests());
        }

        @Test
        void duplicateOfARunningRequestIsAConflict() throws Exception {
            fleet.engine(1).delayMs = 60;
            var first = serveInBackground();
            awaitCondition(() -> !caller.offsets.isEmpty());
            var e =
                    assertThrows(
                            RequestException.class,
                            () -> service.serve(request(), new CollectingSink()));
            assertEquals(ErrorCode.CONFLICT, e.code());
            first.get();
            assertComplete(caller);
        }

        @Test
        void otherWorkspaceWithTheSameIdsGetsNothing() {
            serve();
            ChatRequest sameIdsOfOtherWorkspace =
                    Fleet.request("ghent", Duration.ofMillis(500), Optional.of(0L));
            CollectingSink sink = new CollectingSink();
            var e =
                    assertThrows(
                            RequestException.class,
                            () -> service.serve(sameIdsOfOtherWorkspace, sink));
            assertEquals(ErrorCode.NOT_FOUND, e.code());
            assertEquals("", sink.text.toString());
        }
    }

    /** Guards against a lost or repeated response when the caller reconnects to another daemon. */
    @Nested
    final class ReconnectToAnotherDaemon {
        private final CollectingSink reconnected = new CollectingSink();
        private CompletableFuture<Void> first;

        private void disconnectCaller() throws InterruptedException {
            fleet.engine(1).delayMs = 150;
            fleet.engine(2).delayMs = 150;
            caller.disconnectsAfter = 2;
            first = serveInBackground();
            caller.disconnected.await();
        }

        @Test
        void getsTheRestAndTheFirstDaemonDoesNotCancel() throws Exception {
            disconnectCaller();
            otherDaemon.serve(resume(2), reconnected);
            assertEquals("w3 w4 w5 w6 w7 w8 ", reconnected.text.toString());
            first.get();
            assertEquals(0, countCalls("cancel"));
            assertEquals(1, countCalls("open"));
        }

        @Test
        void findsTheEngineWithoutAPlacement() throws Exception {
            disconnectCaller();
            place(PlacementChange.Kind.MOVED, new TargetId("removed"), 0);
            otherDaemon.serve(resume(1), reconnected);
            assertEquals("w2 w3 w4 w5 w6 w7 w8 ", reconnected.text.toString());
            first.get();
        }

        @Test
        void continuesAtAnotherEngineAfterACrash() throws Exception {
            disconnectCaller();
            fleet.engine(1).crashAt = 5;
            expectedUnsettled = 1;
            otherDaemon.serve(resume(2), reconnected);
            assertEquals("w3 w4 w5 w6 w7 w8 ", reconnected.text.toString());
            assertThrows(Exception.class, first::get);
        }
    }

    private CompletableFuture<Void> serveInBackground() {
        placeAtFirstEngine();
        return CompletableFuture.runAsync(
                () -> service.serve(request(), caller), r -> Tasks.start("caller", r));
    }

    /** Guards against an outdated entry in the placement directory. */
    @Nested
    final class StalePlacement {
        @Test
        void atARemovedEngineIsIgnored() {
            place(PlacementChange.Kind.FINISHED, new TargetId("removed"), 90);
            service.serve(request(), caller);
            assertComplete(caller);
        }

        @Test
        void evictedPrefixIsReplacedByTheNewPlacement() {
            serve();
            var placement = fleet.placements.lookup(CHAT).orElseThrow();
            assertEquals(108, placement.cachedTokens());
            assertEquals(Fleet.id(1), placement.target());
        }
    }

    /**
     * Guards against a prompt that is computed again when the failure domain of a chat's engine is
     * taken out of service.
     */
    @Nested
    final class DomainOutOfService {
        private final CacheMover mover =
                new CacheMover(
                        fleet::bundle,
                        fleet,
                        fleet.placements,
                        fleet.router(),
                        fleet.engines,
                        Ticker.SYSTEM);

        private void takeEngineOutOfService(long tokens) {
            place(PlacementChange.Kind.FINISHED, Fleet.id(1), tokens);
            fleet.set(1, ServiceState.OUT_OF_SERVICE);
            mover.targetsChanged();
        }

        @Test
        void cacheMovesAheadOfTheNextTurn() {
            takeEngineOutOfService(5_000);
            awaitCondition(() -> countCalls("import engine-2") == 1);
            awaitCondition(
                    () -> fleet.placements.lookup(CHAT).orElseThrow().target().equals(Fleet.id(2)));
            service.serve(request(), caller);
            assertEquals(1, countCalls("open engine-2"));
        }

        @Test
        void shortPromptIsNotMoved() {
            takeEngineOutOfService(50);
            Tasks.sleep(Duration.ofMillis(100));
            assertEquals(0, countCalls("export"));
        }
    }
}
