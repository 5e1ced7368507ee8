package org.godwithoist.acceptance.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.godwithoist.acceptance.faults.ChatAnswer.End;
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
    class SilentConnections {
        /** Far below the deadline of 20 s: a muted stream is resumed after 1 s without a byte. */
        private static final Duration LONGEST_ANSWER = Duration.ofSeconds(8);

        private static final int MUTES = 3;

        @Test
        void answersAreWholeWellBeforeTheDeadline() throws IOException, InterruptedException {
            ChatLoad warmUp = ChatLoad.start(vertx, fleet, CALLERS);
            fleet.awaitWarmEngines();
            ChatChecks.assertWhole(warmUp.stop());
            ChatLoad load = ChatLoad.start(vertx, fleet, CALLERS);
            Tasks.sleep(Duration.ofSeconds(1));
            long muted = 0;
            for (int i = 0; i < MUTES; i++) {
                String engine = "engine-" + (i % 2 + 1);
                muted += fleet.inProgress(engine);
                fleet.fault(engine, new JsonObject().put("mute_open_connections", true));
                Tasks.sleep(Duration.ofMillis(1_500));
            }
            List<ChatAnswer> answers = load.stop();
            LOG.atInfo().log(
                    "silent connections: about %d muted, %d answers, %d cut, longest %s",
                    muted,
                    answers.size(),
                    ChatChecks.count(answers, End.CUT),
                    ChatChecks.longest(answers));
            assertTrue(muted > 0, "no connection was muted");
            ChatChecks.assertWhole(answers);
            ChatChecks.assertNeverCut(answers);
            assertTrue(
                    ChatChecks.longest(answers).compareTo(LONGEST_ANSWER) < 0,
                    () -> "longest answer " + ChatChecks.longest(answers));
        }
    }

    /**
     * Guards against a planned stop that interrupts a request or rejects it with a false run state.
     */
    @Nested
    @Order(2)
    class EachDaemonInTurn {
        @Test
        void noAnswerIsLostWrongOrCut() throws IOException, InterruptedException {
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
            List<ChatAnswer> answers = load.stop();
            LOG.atInfo().log(
                    "planned stops: %d answers, %d refused, %d not connected, %d cut, longest %s",
                    answers.size(),
                    ChatChecks.count(answers, End.REFUSED),
                    ChatChecks.count(answers, End.NOT_CONNECTED),
                    ChatChecks.count(answers, End.CUT),
                    ChatChecks.longest(answers));
            ChatChecks.assertWhole(answers);
            ChatChecks.assertNeverCut(answers);
            ChatChecks.assertRefusedAsNotRun(answers);
        }
    }
}
