package org.godwithoist.accounting;

import static org.godwithoist.accounting.FakeFleet.TARGET;
import static org.godwithoist.accounting.FakeFleet.WORKSPACE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.store.StoreUnavailableException;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UsageAccountsTest {
    private final FakeFleet fleet = new FakeFleet();
    private final UsageAccounts a = fleet.daemon("a", 1);
    private final UsageAccounts b = fleet.daemon("b", 1);

    private RequestId open(UsageAccounts daemon, String id) {
        RequestId attempt = new RequestId(id);
        daemon.open(attempt, WORKSPACE, TARGET);
        return attempt;
    }

    private void complete(UsageAccounts daemon, String id, long tokens) {
        RequestId attempt = open(daemon, id);
        daemon.close(attempt, fleet.completeAttempt(attempt, tokens));
    }

    private void assertSettledAsCounted() {
        assertEquals(fleet.targetTotal(), fleet.settledTotal());
    }

    private void killAndTakeOver() {
        fleet.kill("a");
        b.takeOverOnce();
    }

    @Nested
    class StoreFaults {
        /** Guards against counting a batch twice after the response to its commit was lost. */
        @Test
        void lostResponseIsReadAgain() {
            complete(a, "1", 10);
            a.replicateOnce();
            fleet.store.faultNextCommit(StoreFault.ANSWER_LOST);
            a.settleOnce();
            complete(a, "2", 5);
            a.replicateOnce();
            a.settleOnce();
            assertSettledAsCounted();
            assertEquals(1, a.overview().settled().size());
        }

        /** Guards against losing a batch whose commit request was lost. */
        @Test
        void lostRequestIsRetried() {
            complete(a, "1", 10);
            a.replicateOnce();
            fleet.store.faultNextCommit(StoreFault.REQUEST_LOST);
            assertThrows(RuntimeException.class, a::settleOnce);
            a.settleOnce();
            assertSettledAsCounted();
        }

        /** Guards against usage that is dropped or not shown during a store outage. */
        @Test
        void outageAccumulatesAndIsListed() {
            fleet.store.setFault(StoreFault.DOWN);
            complete(a, "1", 10);
            a.replicateOnce();
            assertThrows(StoreUnavailableException.class, a::settleOnce);
            complete(a, "2", 7);
            a.replicateOnce();
            assertEquals(2, a.knownUsage().own().get(WORKSPACE).counted().requests());
            fleet.store.setFault(StoreFault.NONE);
            UsageOverview before = a.overview();
            assertEquals(fleet.targetTotal(), before.unsettled().get(WORKSPACE).counted());
            a.settleOnce();
            assertSettledAsCounted();
            assertTrue(a.overview().unsettled().isEmpty());
        }
    }

    @Nested
    class FailedDaemon {
        /** Guards against losing counted usage that a failed daemon had not settled. */
        @Test
        void replicaSettlesCountedUsage() {
            complete(a, "1", 10);
            a.replicateOnce();
            a.settleOnce();
            complete(a, "2", 20);
            a.replicateOnce();
            killAndTakeOver();
            assertSettledAsCounted();
        }

        /** Guards against a double count if the row was written but the response was lost. */
        @Test
        void killedBetweenWriteAndItsResponse() {
            complete(a, "1", 10);
            a.replicateOnce();
            fleet.store.faultNextCommit(StoreFault.ANSWER_LOST);
            a.settleOnce();
            killAndTakeOver();
            assertSettledAsCounted();
        }

        /** Guards against open attempts whose usage is never settled after their daemon failed. */
        @Test
        void replicaQueriesTargetsForOpenAttempts() {
            RequestId running = open(a, "1");
            RequestId unsent = open(a, "2");
            fleet.startRunning(running);
            a.replicateOnce();
            fleet.targetDown = true;
            killAndTakeOver();
            assertEquals(2, b.overview().unsettled().get(WORKSPACE).open());
            fleet.targetDown = false;
            b.takeOverOnce();
            assertEquals(1, b.overview().unsettled().get(WORKSPACE).open());
            fleet.completeAttempt(running, 30);
            b.takeOverOnce();
            assertSettledAsCounted();
            assertTrue(b.overview().unsettled().isEmpty(), "still open: " + unsent);
        }

        /** Guards against a takeover that is abandoned because of a store outage. */
        @Test
        void takeoverWaitsForTheStore() {
            complete(a, "1", 10);
            a.replicateOnce();
            fleet.store.setFault(StoreFault.DOWN);
            killAndTakeOver();
            assertEquals(
                    10,
                    b.knownUsage()
                            .held()
                            .values()
                            .iterator()
                            .next()
                            .get(WORKSPACE)
                            .counted()
                            .promptTokens());
            fleet.store.setFault(StoreFault.NONE);
            fleet.store.faultNextCommit(StoreFault.ANSWER_LOST);
            b.takeOverOnce();
            assertSettledAsCounted();
        }

        /** Guards against losing open attempts when the replica fails as well. */
        @Test
        void secondReplicaInheritsTheChain() {
            UsageAccounts c = fleet.daemon("c", 1);
            fleet.unreachable.add(new HostId("c"));
            RequestId running = open(a, "1");
            fleet.startRunning(running);
            a.replicateOnce();
            fleet.unreachable.clear();
            killAndTakeOver();
            b.replicateOnce();
            fleet.kill("b");
            fleet.completeAttempt(running, 30);
            c.takeOverOnce();
            assertSettledAsCounted();
        }

        /** Guards against mixing the usage of a restarted daemon with that of its previous run. */
        @Test
        void restartIsDetectedByIncarnation() {
            complete(a, "1", 10);
            a.replicateOnce();
            UsageAccounts restarted = fleet.daemon("a", 2);
            b.takeOverOnce();
            complete(restarted, "2", 5);
            restarted.replicateOnce();
            restarted.settleOnce();
            assertSettledAsCounted();
        }
    }

    @Nested
    class FalseSuspicion {
        /** Guards against double counts when a paused daemon resumes after the takeover. */
        @Test
        void pausedDaemonReclaimsItsChain() {
            complete(a, "1", 10);
            RequestId settledByReplica = open(a, "2");
            RequestId stillRunning = open(a, "3");
            fleet.startRunning(stillRunning);
            a.replicateOnce();
            fleet.completeAttempt(settledByReplica, 20);
            fleet.markUnresponsive("a");
            b.takeOverOnce();
            fleet.unresponsive.clear();
            a.close(settledByReplica, fleet.completeAttempt(settledByReplica, 20));
            a.close(stillRunning, fleet.completeAttempt(stillRunning, 30));
            for (int i = 0; i < 3; i++) {
                a.replicateOnce();
                a.settleOnce();
                b.takeOverOnce();
            }
            assertSettledAsCounted();
            assertTrue(a.overview().unsettled().isEmpty());
        }

        /**
         * Guards against the takeover of a running daemon that the member list reports as
         * unresponsive.
         */
        @Test
        void daemonThatRegistersIsAlive() {
            fleet.unresponsive.add(new HostId("a"));
            complete(a, "1", 10);
            a.replicateOnce();
            b.takeOverOnce();
            assertEquals(0, fleet.store.writes());
        }

        /** Guards against a replaced replica that takes over with its outdated copy. */
        @Test
        void replacedReplicaIsExcluded() {
            UsageAccounts c = fleet.daemon("c", 1);
            fleet.unreachable.add(new HostId("c"));
            RequestId first = open(a, "1");
            a.replicateOnce();
            fleet.unreachable.clear();
            fleet.unreachable.add(new HostId("b"));
            fleet.ticker.advance(Duration.ofSeconds(3));
            a.replicateOnce();
            a.close(first, fleet.completeAttempt(first, 10));
            a.replicateOnce();
            a.settleOnce();
            fleet.unreachable.clear();
            killAndTakeOver();
            c.takeOverOnce();
            assertSettledAsCounted();
        }

        /** Guards against a new replica with an incomplete copy that excludes a complete copy. */
        @Test
        void incompleteCopyDoesNotExcludeTheCompleteOne() {
            UsageAccounts c = fleet.daemon("c", 1);
            fleet.unreachable.add(new HostId("c"));
            for (int i = 0; i < 300; i++) {
                complete(a, "r" + i, 1);
            }
            while (!a.replicateOnce()) {
                fleet.ticker.advance(Duration.ofMillis(1));
            }
            for (int i = 300; i < 900; i++) {
                complete(a, "r" + i, 1);
            }
            while (!a.replicateOnce()) {
                fleet.ticker.advance(Duration.ofMillis(1));
            }
            fleet.unreachable.clear();
            fleet.unreachable.add(new HostId("b"));
            fleet.ticker.advance(Duration.ofSeconds(3));
            a.replicateOnce();
            a.replicateOnce();
            fleet.unreachable.clear();
            fleet.kill("a");
            c.takeOverOnce();
            b.takeOverOnce();
            assertSettledAsCounted();
        }

        /** Guards against settling a count that the replica has not received. */
        @Test
        void countIsSettledOnlyAfterTheReplicaHasIt() {
            RequestId first = open(a, "1");
            a.replicateOnce();
            fleet.unreachable.add(new HostId("b"));
            a.close(first, fleet.completeAttempt(first, 10));
            a.replicateOnce();
            a.settleOnce();
            fleet.unreachable.clear();
            killAndTakeOver();
            assertSettledAsCounted();
        }
    }

    @Nested
    class Registration {
        /** Guards against a registration that delays the first byte of a request. */
        @Test
        void openDoesNotWaitForTheReplica() {
            fleet.responseDelay = Duration.ofMillis(500);
            a.start();
            long start = System.nanoTime();
            for (int i = 0; i < 1_000; i++) {
                complete(a, "r" + i, 1);
            }
            long millis = (System.nanoTime() - start) / 1_000_000;
            a.close();
            assertTrue(millis < 250, "1,000 registrations took " + millis + " ms");
        }

        /** Guards against gaps and duplicates after a lost response of the replica. */
        @Test
        void lostReceiptIsRetriedWithoutDoubleCount() {
            complete(a, "1", 10);
            fleet.responsesLost = true;
            a.replicateOnce();
            fleet.responsesLost = false;
            complete(a, "2", 20);
            a.replicateOnce();
            killAndTakeOver();
            assertSettledAsCounted();
        }

        /** Guards against a restarted replica whose copy stays empty. */
        @Test
        void restartedReplicaReceivesAllAttemptsAgain() {
            complete(a, "1", 10);
            a.replicateOnce();
            UsageAccounts restarted = fleet.daemon("b", 2);
            complete(a, "2", 20);
            a.replicateOnce();
            a.replicateOnce();
            fleet.kill("a");
            restarted.takeOverOnce();
            assertSettledAsCounted();
        }

        /** Shows the documented loss if both copies are lost before the flush. */
        @Test
        void failureOfBothDaemonsLosesOneFlushInterval() {
            UsageAccounts c = fleet.daemon("c", 1);
            fleet.unreachable.add(new HostId("c"));
            complete(a, "1", 10);
            a.replicateOnce();
            a.settleOnce();
            complete(a, "2", 20);
            a.replicateOnce();
            fleet.unreachable.clear();
            fleet.kill("a");
            fleet.kill("b");
            c.takeOverOnce();
            assertEquals(10, fleet.settledTotal().promptTokens());
            assertEquals(30, fleet.targetTotal().promptTokens());
        }
    }

    @Nested
    class PlannedStop {
        /** Guards against usage that is lost in memory at a planned stop. */
        @Test
        void settlesCountedAndHandsOverOpen() {
            complete(a, "1", 10);
            RequestId running = open(a, "2");
            fleet.startRunning(running);
            assertTrue(a.drain(Duration.ofSeconds(5)));
            fleet.completeAttempt(running, 20);
            b.takeOverOnce();
            assertSettledAsCounted();
        }

        /** Guards against a stop that reports success although the usage is stored nowhere. */
        @Test
        void reportsFailureWithoutStoreAndReplica() {
            complete(a, "1", 10);
            fleet.store.setFault(StoreFault.DOWN);
            fleet.unreachable.add(new HostId("b"));
            assertFalse(a.drain(Duration.ZERO));
        }
    }

    @Nested
    class LostResponses {
        /** Guards against attempts that stay open after their connection was lost. */
        @Test
        void targetIsQueriedUntilItsCountIsFinal() {
            RequestId attempt = open(a, "1");
            fleet.startRunning(attempt);
            a.markLost(attempt);
            a.settleOnce();
            assertEquals(1, a.knownUsage().own().get(WORKSPACE).open());
            fleet.completeAttempt(attempt, 40);
            a.replicateOnce();
            a.settleOnce();
            a.replicateOnce();
            a.settleOnce();
            assertSettledAsCounted();
        }
    }
}
