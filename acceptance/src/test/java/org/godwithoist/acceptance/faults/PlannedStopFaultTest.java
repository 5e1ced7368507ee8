package org.godwithoist.acceptance.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.godwithoist.acceptance.faults.ChatResult.End;
import org.godwithoist.core.task.Tasks;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.ClassOrderer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestClassOrder;

/** Restarts daemons gracefully and mutes open connections; neither may affect callers. */
@TestClassOrder(ClassOrderer.OrderAnnotation.class)
class PlannedStopFaultTest {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int CALLERS = 8;

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

    /**
     * Guards against waiting on a connection that is open but delivers nothing, for example because
     * a middlebox has lost its state.
     */
    @Nested
    @Order(1)
    class MutedConnections {
        /** Far below the deadline of 20 s: a muted stream is resumed after 1 s without a byte. */
        private static final Duration MAX_RESPONSE_TIME = Duration.ofSeconds(8);

        private static final int MUTE_COUNT = 3;

        @Test
        void responsesCompleteWellBeforeTheDeadline() throws IOException, InterruptedException {
            ChatLoad warmUp = ChatLoad.start(vertx, fleet, CALLERS);
            fleet.awaitWarmEngines();
            ChatChecks.assertComplete(warmUp.stop());
            ChatLoad load = ChatLoad.start(vertx, fleet, CALLERS);
            Tasks.sleep(Duration.ofSeconds(1));
            long muted = 0;
            for (int i = 0; i < MUTE_COUNT; i++) {
                String engine = "engine-" + (i % 2 + 1);
                muted += fleet.inProgress(engine);
                fleet.setFaults(engine, new JsonObject().put("mute_open_connections", true));
                Tasks.sleep(Duration.ofMillis(1_500));
            }
            List<ChatResult> results = load.stop();
            LOG.atInfo().log(
                    "muted connections: about %d muted, %d responses, %d cut, max duration %s",
                    muted,
                    results.size(),
                    ChatChecks.count(results, End.CUT),
                    ChatChecks.maxDuration(results));
            assertTrue(muted > 0, "no connection was muted");
            ChatChecks.assertComplete(results);
            ChatChecks.assertNeverCut(results);
            assertTrue(
                    ChatChecks.maxDuration(results).compareTo(MAX_RESPONSE_TIME) < 0,
                    () -> "max duration " + ChatChecks.maxDuration(results));
        }
    }

    /**
     * Guards against a planned stop that interrupts a request or rejects it with a false run state.
     */
    @Nested
    @Order(2)
    class EachDaemonInTurn {
        @Test
        void noResponseIsLostWrongOrCut() throws IOException, InterruptedException {
            ChatLoad load = ChatLoad.start(vertx, fleet, CALLERS);
            Tasks.sleep(Duration.ofSeconds(1));
            for (String daemon : fleet.daemons()) {
                long start = System.nanoTime();
                int code = fleet.fleet().process(daemon).drain();
                long drained = System.nanoTime();
                fleet.fleet().startDaemon(daemon);
                fleet.awaitReady(daemon);
                LOG.atInfo().log(
                        "planned stop of %s: exit code %d after %d ms, ready after another %d ms",
                        daemon,
                        code,
                        Duration.ofNanos(drained - start).toMillis(),
                        Duration.ofNanos(System.nanoTime() - drained).toMillis());
                Tasks.sleep(Duration.ofMillis(500));
            }
            List<ChatResult> results = load.stop();
            LOG.atInfo().log(
                    "planned stops: %d responses, %d rejected, %d not connected, %d cut, "
                            + "max duration %s",
                    results.size(),
                    ChatChecks.count(results, End.REJECTED),
                    ChatChecks.count(results, End.NOT_CONNECTED),
                    ChatChecks.count(results, End.CUT),
                    ChatChecks.maxDuration(results));
            ChatChecks.assertComplete(results);
            ChatChecks.assertNeverCut(results);
            ChatChecks.assertRejectedAsNotRun(results);
        }
    }
}
