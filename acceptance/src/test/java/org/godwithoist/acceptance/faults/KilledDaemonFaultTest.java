package org.godwithoist.acceptance.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.godwithoist.acceptance.faults.ChatResult.End;
import org.godwithoist.core.task.Tasks;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.ClassOrderer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestClassOrder;

/** Kills a daemon with SIGKILL, so that it cannot hand over its requests or usage records. */
@TestClassOrder(ClassOrderer.OrderAnnotation.class)
class KilledDaemonFaultTest {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration LOAD_BEFORE_KILL = Duration.ofSeconds(2);
    private static final Duration LOAD_AFTER_KILL = Duration.ofSeconds(3);

    private static FaultFleet fleet;
    private static Vertx vertx;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        vertx = Vertx.vertx();
        fleet = new FaultFleet(2, 3);
    }

    @AfterAll
    static void stop() {
        fleet.close();
        vertx.close();
    }

    /** Guards against responses and usage records that are lost with the daemon that held them. */
    @Nested
    @Order(1)
    class UnderChatLoad {
        private static final int CALLERS = 8;
        private static final Duration SETTLEMENT_TIMEOUT = Duration.ofSeconds(40);
        private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

        /**
         * Longer than a flush interval, so that a duplicate settlement of a row would be visible.
         */
        private static final Duration DUPLICATE_FLUSH_WAIT = Duration.ofSeconds(6);

        @Test
        void responsesAreCompleteAndUsageIsCountedOnce() throws IOException, InterruptedException {
            ChatLoad load = ChatLoad.start(vertx, fleet, CALLERS);
            Tasks.sleep(LOAD_BEFORE_KILL);
            fleet.fleet().process("daemon-3").kill();
            Tasks.sleep(LOAD_AFTER_KILL);
            List<ChatResult> results = load.stop();
            LOG.atInfo().log(
                    "kill under chat load: %d responses, %d cut connections, max duration %s",
                    results.size(),
                    ChatChecks.count(results, End.CUT),
                    ChatChecks.maxDuration(results));
            ChatChecks.assertComplete(results);
            assertTrue(ChatChecks.count(results, End.CUT) > 0, "the kill cut no response");

            long start = System.nanoTime();
            UsageSnapshot snapshot = awaitSettled(start);
            LOG.atInfo().log(
                    "kill under chat load: usage %s settled %d ms after the load ended",
                    snapshot.settled(), Duration.ofNanos(System.nanoTime() - start).toMillis());
            Tasks.sleep(DUPLICATE_FLUSH_WAIT);
            assertEquals(fleet.engineUsage(), fleet.usage("daemon-1").settled());
        }

        private UsageSnapshot awaitSettled(long start) throws IOException, InterruptedException {
            while (true) {
                UsageSnapshot snapshot = fleet.usage("daemon-1");
                Map<String, UsageSnapshot.Count> counted = fleet.engineUsage();
                snapshot.settled()
                        .forEach(
                                (w, count) ->
                                        assertFalse(
                                                !counted.containsKey(w)
                                                        || count.exceeds(counted.get(w)),
                                                () ->
                                                        "settled usage exceeds the count: "
                                                                + snapshot
                                                                + counted));
                if (fleet.inProgress() == 0
                        && snapshot.openAttempts() == 0
                        && snapshot.unsettledRequests() == 0
                        && snapshot.settled().equals(counted)) {
                    return snapshot;
                }
                assertTrue(
                        System.nanoTime() - start < SETTLEMENT_TIMEOUT.toNanos(),
                        () ->
                                "usage is not settled in time: "
                                        + snapshot.text()
                                        + ", engines counted "
                                        + counted);
                Tasks.sleep(POLL_INTERVAL);
            }
        }
    }

    /**
     * Guards against a second execution of a booking when a daemon is killed and store responses
     * are lost.
     */
    @Nested
    @Order(2)
    class UnderKeyedRequests {
        private static final int LOST_COMMIT_RESPONSES = 10;

        /**
         * Longer than the 15 s after which an unresponsive member no longer counts and one exchange
         * round.
         */
        private static final Duration REMOVAL_TIME = Duration.ofSeconds(17);

        @Test
        void eachKeyRunsOnceAndEveryRunStateIsCorrect() throws IOException, InterruptedException {
            KeyedLoad load = KeyedLoad.start(fleet);
            Tasks.sleep(Duration.ofSeconds(1));
            fleet.setFaults(
                    "platform", new JsonObject().put("lose_commit_answers", LOST_COMMIT_RESPONSES));
            Tasks.sleep(Duration.ofMillis(500));
            fleet.setFaults(
                    "platform", new JsonObject().put("lose_commit_answers", LOST_COMMIT_RESPONSES));
            fleet.fleet().process("daemon-2").kill();
            Tasks.sleep(LOAD_BEFORE_KILL);
            load.stop();
            fleet.setFaults("platform", new JsonObject().put("lose_commit_answers", 0));
            // By design, the last daemon may reject requests until the killed ones have been
            // unresponsive for 15 s; the run state check covers these rejections.
            Tasks.sleep(REMOVAL_TIME);
            load.retryAll("daemon-1");
            var log = fleet.log("tickets-1");
            LOG.atInfo().log(
                    "keyed requests: %d keys, %d ran, %d executions, responses %s, "
                            + "rejected after run %d",
                    load.keyCount(),
                    load.keysThatRan(),
                    log.size(),
                    load.countByRunState(),
                    load.rejectedAfterRun(log));
            assertEquals(List.of(), load.violations(log));
            assertTrue(
                    load.keysThatRan() > load.keyCount() / 2,
                    () ->
                            "at most half of the keys ran; responses by run state: "
                                    + load.countByRunState()
                                    + ", last rejection "
                                    + load.lastRejection());
        }
    }
}
