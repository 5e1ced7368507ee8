package org.godwithoist.services;

import static org.godwithoist.services.Fixture.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.godwithoist.core.error.ErrorCode;
import org.godwithoist.core.error.RequestException;
import org.godwithoist.core.error.RunState;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.services.Fixture.Daemon;
import org.godwithoist.services.Fixture.Mode;
import org.godwithoist.services.Fixture.Result;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServiceCallsTest {
    private static final Duration SHORT = Duration.ofMillis(300);

    private final Fixture fixture = new Fixture();
    private final Daemon a = fixture.daemon("a", 1);
    private final Daemon b = fixture.daemon("b", 1);

    private RequestException refused(Daemon daemon, String method, String key, String body) {
        return assertThrows(RequestException.class, () -> send(daemon, method, key, body, SHORT));
    }

    private void assertRefused(RequestException e, ErrorCode code, RunState state) {
        assertEquals(code, e.code(), e.getMessage());
        assertEquals(state, e.runState(), e.getMessage());
    }

    @Nested
    class Repeats {
        /**
         * Guards against a second execution when the caller retries at another daemon afterwards.
         */
        @Test
        void afterTheFirstEnded() {
            Result first = send(a, "POST", "k", "body");
            Result second = send(b, "POST", "k", "body");
            assertEquals(1, fixture.target.totalRuns());
            assertEquals(first.body.toString(), second.body.toString());
            assertEquals(201, second.status);
            assertEquals(RunState.RAN, second.runState);
            assertEquals(2, fixture.tables.writes());
        }

        /** Guards against a second execution while the first one runs at another daemon. */
        @Test
        void whileTheFirstRuns() throws Exception {
            fixture.target.hold = new CountDownLatch(1);
            var first = CompletableFuture.supplyAsync(() -> send(a, "POST", "k", "body"));
            fixture.target.started.await();
            assertRefused(
                    refused(b, "POST", "k", "body"), ErrorCode.DEADLINE_EXCEEDED, RunState.UNKNOWN);
            var second = CompletableFuture.supplyAsync(() -> send(b, "POST", "k", "body"));
            fixture.target.hold.countDown();
            assertEquals("xxxxxx", first.get().body.toString());
            assertEquals("xxxxxx", second.get().body.toString());
            assertEquals(1, fixture.target.totalRuns());
        }

        /** Guards against a stored response to another request with the same key. */
        @Test
        void withAnotherBody() {
            send(a, "POST", "k", "body");
            assertRefused(refused(b, "POST", "k", "other"), ErrorCode.CONFLICT, RunState.NOT_RUN);
            assertEquals(1, fixture.target.totalRuns());
        }

        /** Guards against rows that grow with the response, and against truncated responses. */
        @Test
        void ofLongAnswers() {
            fixture.target.answerLength = 1 << 20;
            send(a, "POST", "k", "body");
            assertEquals(1 << 20, send(b, "POST", "k", "body").body.length());
            fixture.target.answerLength = StoredAnswer.MAX_KEPT + 1;
            send(a, "POST", "k2", "body");
            assertRefused(refused(b, "POST", "k2", "body"), ErrorCode.CONFLICT, RunState.RAN);
            assertEquals(2, fixture.target.totalRuns());
        }

        /** Guards against keys that stay blocked after 24 h, and against reuse earlier. */
        @Test
        void afterTheTimeToLive() {
            send(a, "POST", "k", "body");
            fixture.now = fixture.now.plus(Duration.ofHours(23));
            send(b, "POST", "k", "body");
            assertEquals(1, fixture.target.totalRuns());
            fixture.now = fixture.now.plus(Duration.ofHours(1));
            send(b, "POST", "k", "body");
            assertEquals(2, fixture.target.totalRuns());
            fixture.now = fixture.now.plus(Duration.ofHours(25));
            long before = fixture.tables.writes();
            b.claims().deleteExpired(Fixture.bundle().workspaces().keySet());
            assertEquals(before, fixture.tables.writes());
            a.claims().deleteExpired(Fixture.bundle().workspaces().keySet());
            assertEquals(before + 1, fixture.tables.writes());
        }
    }

    @Nested
    class DeadDaemon {
        /** Guards against a second execution after the daemon crashes at any step of a request. */
        @Test
        void killedAtEachStep() {
            int step = 1;
            KillableStore view;
            do {
                Fixture f = new Fixture();
                view = new KillableStore(f.tables, f.target, step);
                Daemon victim = f.daemon("a", 1, view, view);
                Daemon other = f.daemon("b", 1);
                try {
                    send(victim, "POST", "k", "body");
                } catch (KillableStore.Killed e) {
                    f.silent.add(new HostId("a"));
                }
                RunState told;
                try {
                    told = send(other, "POST", "k", "body").runState;
                } catch (RequestException e) {
                    told = e.runState();
                }
                int runs = f.target.totalRuns();
                assertTrue(runs <= 1, "runs after a kill at step " + step + ": " + runs);
                assertTrue(
                        told == RunState.UNKNOWN || (told == RunState.RAN && runs == 1),
                        "step " + step + ": told " + told + " after " + runs + " runs");
                step++;
            } while (!view.alive());
            assertEquals(8, step);
        }

        /** Guards against callers that wait for a daemon that was restarted. */
        @Test
        void restartedDaemonIsNoticed() throws Exception {
            fixture.target.hold = new CountDownLatch(1);
            var first = CompletableFuture.supplyAsync(() -> send(a, "POST", "k", "body"));
            fixture.target.started.await();
            fixture.daemon("a", 2);
            assertRefused(
                    refused(b, "POST", "k", "body"), ErrorCode.TARGET_FAILED, RunState.UNKNOWN);
            fixture.target.hold.countDown();
            first.get();
        }
    }

    @Nested
    class StoreFaults {
        /**
         * Guards against a rejection or a second claim when the store's response to the claim is
         * lost.
         */
        @Test
        void answerLostAtClaim() {
            fixture.tables.faultNextCommit(StoreFault.ANSWER_LOST);
            assertEquals(RunState.RAN, send(a, "POST", "k", "body").runState);
            assertEquals(RunState.RAN, send(b, "POST", "k", "body").runState);
            assertEquals(1, fixture.target.totalRuns());
        }

        /** Guards against a lost result when the store's response to the completion is lost. */
        @Test
        void answerLostAtCompletion() {
            fixture.tables.faultNextCommit(StoreFault.NONE);
            fixture.tables.faultNextCommit(StoreFault.ANSWER_LOST);
            send(a, "POST", "k", "body");
            assertEquals(0, a.claims().waitingEnds());
            assertEquals("xxxxxx", send(b, "POST", "k", "body").body.toString());
            assertEquals(1, fixture.target.totalRuns());
        }

        /**
         * Guards against claims that stay running because the store was unavailable at the
         * completion.
         */
        @Test
        void outageAtCompletion() {
            fixture.tables.faultNextCommit(StoreFault.NONE);
            fixture.tables.faultNextCommit(StoreFault.DOWN);
            assertEquals(RunState.RAN, send(a, "POST", "k", "body").runState);
            assertEquals(1, a.claims().waitingEnds());
            assertRefused(
                    refused(b, "POST", "k", "body"), ErrorCode.DEADLINE_EXCEEDED, RunState.UNKNOWN);
            assertTrue(a.calls().drain(Duration.ofSeconds(5)));
            assertEquals("xxxxxx", send(b, "POST", "k", "body").body.toString());
            assertEquals(1, fixture.target.totalRuns());
        }

        /** Guards against running without a claim. */
        @Test
        void outageAtClaim() {
            fixture.tables.setFault(StoreFault.DOWN);
            assertRefused(
                    refused(a, "POST", "k", "body"), ErrorCode.STORE_UNAVAILABLE, RunState.NOT_RUN);
            assertEquals(0, fixture.target.totalRuns());
        }

        /**
         * Guards against a key that stays blocked by a claim whose response from the store was
         * lost.
         */
        @Test
        void claimLeftBehindIsReleased() {
            fixture.tables.setFault(StoreFault.ANSWER_LOST);
            assertRefused(
                    refused(a, "POST", "k", "body"), ErrorCode.STORE_UNAVAILABLE, RunState.NOT_RUN);
            fixture.tables.setFault(StoreFault.NONE);
            assertRefused(
                    refused(b, "POST", "k", "body"), ErrorCode.DEADLINE_EXCEEDED, RunState.UNKNOWN);
            a.claims().repeatEnds();
            assertEquals(RunState.RAN, send(b, "POST", "k", "body").runState);
            assertEquals(1, fixture.target.totalRuns());
        }

        /** Guards against "not run" when an outage makes a stored long response unreadable. */
        @Test
        void objectStoreOutage() {
            fixture.target.answerLength = 1 << 20;
            send(a, "POST", "k", "body");
            fixture.objects.setFault(StoreFault.DOWN);
            assertRefused(
                    refused(b, "POST", "k", "body"), ErrorCode.STORE_UNAVAILABLE, RunState.RAN);
        }
    }

    @Nested
    class TargetFaults {
        /** Guards against "not run" and retries when the target responds after the deadline. */
        @Test
        void lateAnswer() {
            fixture.target.next(Mode.SILENT_AFTER_RUN);
            assertRefused(
                    refused(a, "POST", "k", "body"), ErrorCode.DEADLINE_EXCEEDED, RunState.UNKNOWN);
            assertRefused(
                    refused(b, "POST", "k", "body"), ErrorCode.TARGET_FAILED, RunState.UNKNOWN);
            assertEquals(1, fixture.target.totalRuns());
        }

        /** Guards against storing a truncated response. */
        @Test
        void answerThatBreaksOff() {
            fixture.target.next(Mode.BROKEN_ANSWER);
            assertRefused(
                    refused(a, "POST", "k", "body"), ErrorCode.DEADLINE_EXCEEDED, RunState.UNKNOWN);
            assertRefused(
                    refused(b, "POST", "k", "body"), ErrorCode.TARGET_FAILED, RunState.UNKNOWN);
            assertEquals(1, fixture.target.totalRuns());
        }

        /** Guards against a key that stays blocked although nothing was sent. */
        @Test
        void unreachableTargetReleasesTheClaim() {
            for (int i = 0; i < 3; i++) {
                fixture.target.next(Mode.NOT_REACHABLE);
            }
            assertRefused(
                    refused(a, "POST", "k", "body"), ErrorCode.TARGET_FAILED, RunState.NOT_RUN);
            assertEquals(RunState.RAN, send(b, "POST", "k", "body").runState);
            assertEquals(1, fixture.charged().requests());
        }

        /** Guards against a second execution without a key after a byte was sent. */
        @Test
        void unsafeCallIsSentOnce() {
            fixture.target.next(Mode.LOST_AFTER_RUN);
            assertRefused(
                    refused(a, "POST", null, "body"), ErrorCode.TARGET_FAILED, RunState.UNKNOWN);
            fixture.target.next(Mode.LOST_AFTER_RUN);
            assertRefused(
                    refused(a, "DELETE", null, ""), ErrorCode.TARGET_FAILED, RunState.UNKNOWN);
            assertEquals(2, fixture.target.totalRuns());
        }

        /** Guards against failing safe requests without a retry, and against unlimited retries. */
        @Test
        void safeCallIsRetriedWithinTheBudget() {
            fixture.target.next(Mode.LOST_BEFORE_RUN);
            assertEquals(RunState.RAN, send(a, "GET", null, "").runState);
            fixture.target.next(Mode.LOST_BEFORE_RUN);
            fixture.target.next(Mode.LOST_BEFORE_RUN);
            assertRefused(refused(a, "GET", null, ""), ErrorCode.TARGET_FAILED, RunState.UNKNOWN);
        }

        /** Guards against "ran" when the service reports a server error. */
        @Test
        void serverErrorIsNotCalledRan() {
            fixture.target.status = 503;
            assertEquals(RunState.UNKNOWN, send(a, "POST", "k", "body").runState);
            assertEquals(503, send(b, "POST", "k", "body").status);
            assertEquals(1, fixture.target.totalRuns());
        }
    }

    @Nested
    class Capacity {
        /** Guards against more requests of a workspace in progress than its limit. */
        @Test
        void workspaceOverItsLimit() throws Exception {
            fixture.target.hold = new CountDownLatch(1);
            for (int i = 0; i < 8; i++) {
                Thread.ofVirtual().start(() -> send(a, "GET", null, ""));
            }
            while (a.calls().callsInProgress() < 8) {
                Thread.sleep(5);
            }
            assertRefused(refused(a, "GET", null, ""), ErrorCode.OVER_LIMIT, RunState.NOT_RUN);
            fixture.target.hold.countDown();
            assertTrue(a.calls().drain(Duration.ofSeconds(5)));
        }

        /** Guards against sending all requests to one of several equal targets. */
        @Test
        void equalTargetsTakeTurns() {
            var endpoint = new Endpoint("127.0.0.1", 1);
            fixture.targets.update(
                    List.of(Fixture.entry("t1", endpoint), Fixture.entry("t2", endpoint)));
            for (int i = 0; i < 4; i++) {
                send(a, "POST", "k" + i, "body");
            }
            TargetId t1 = new TargetId("t1");
            TargetId t2 = new TargetId("t2");
            assertEquals(List.of(t1, t2, t1, t2), fixture.target.chosen);
        }

        /**
         * Guards against store writes for rejected requests, and against "not run" for completed
         * ones.
         */
        @Test
        void noTargetCostsNoWrite() {
            send(a, "POST", "answered", "body");
            long writes = fixture.tables.writes();
            fixture.targets.update(List.of());
            assertRefused(refused(a, "POST", "k", "body"), ErrorCode.NO_CAPACITY, RunState.NOT_RUN);
            assertEquals(RunState.RAN, send(b, "POST", "answered", "body").runState);
            assertEquals(writes, fixture.tables.writes());
        }
    }
}
