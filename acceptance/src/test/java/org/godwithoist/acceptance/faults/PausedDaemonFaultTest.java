package org.godwithoist.acceptance.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import org.godwithoist.acceptance.faults.ChatResult.End;
import org.godwithoist.cli.ExitCode;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.EngineChecks;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.ClassOrderer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestClassOrder;

/** Pauses a daemon with SIGSTOP, so that it resumes with outdated grants, leases and views. */
@TestClassOrder(ClassOrderer.OrderAnnotation.class)
class PausedDaemonFaultTest {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /**
     * Callers switch to another daemon after this time without a byte. It exceeds the keep-alive
     * interval of 5 s, so only a paused daemon reaches it.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(6);

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

    /** Guards against use of expired grants and against second executions after a long pause. */
    @Nested
    @Order(1)
    class ForTenSeconds {
        private static final int CALLERS = 12;

        @Test
        void boundsHoldAndKeyedRequestsRunOnce() throws IOException, InterruptedException {
            ChatLoad load = ChatLoad.start(vertx, fleet, CALLERS, IDLE_TIMEOUT);
            KeyedLoad keyedLoad = KeyedLoad.start(fleet);
            Tasks.sleep(Duration.ofSeconds(2));
            fleet.fleet().process("daemon-2").signal("STOP");
            Tasks.sleep(Duration.ofSeconds(10));
            fleet.fleet().process("daemon-2").signal("CONT");
            Tasks.sleep(Duration.ofSeconds(3));
            keyedLoad.stop();
            List<ChatResult> results = load.stop();
            EngineChecks.Skew skew = fleet.engineChecks().skew();
            var log = fleet.log("tickets-1");
            LOG.atInfo().log(
                    "pause of 10 s: %d responses, %d cut connections, max duration %s, %s, "
                            + "%d keys, %d executions, run states %s, rejected after run %d",
                    results.size(),
                    ChatChecks.count(results, End.CUT),
                    ChatChecks.maxDuration(results),
                    skew,
                    keyedLoad.keyCount(),
                    log.size(),
                    keyedLoad.countByRunState(),
                    keyedLoad.rejectedAfterRun(log));
            assertEquals(0, skew.violations(), skew::toString);
            assertEquals(0, skew.coldViolations(), skew::toString);
            assertEquals(List.of(), keyedLoad.violations(log));
            assertTrue(keyedLoad.keysThatRan() > 0, "no keyed request ran");
            ChatChecks.assertComplete(results);
        }
    }

    /**
     * Guards against new requests in a failure domain that is out of service, sent by a daemon that
     * missed the order.
     */
    @Nested
    @Order(2)
    class WhileDomainGoesOutOfService {
        private static final int CALLERS = 8;
        private static final FailureDomainId DOMAIN = new FailureDomainId("domain-1");
        private static final FailureDomainId OTHER_DOMAIN = new FailureDomainId("domain-2");
        private static final long ORDER_BOUND_MS = 3_000;

        @Test
        void domainReceivesNoRequestThreeSecondsAfterTheOrder()
                throws IOException, InterruptedException {
            ChatLoad load = ChatLoad.start(vertx, fleet, CALLERS, IDLE_TIMEOUT);
            long loadStart = System.currentTimeMillis();
            Tasks.sleep(Duration.ofSeconds(2));
            fleet.setFaults("platform", new JsonObject().put("down", true));
            fleet.fleet().process("daemon-3").signal("STOP");
            long orderedAt = System.currentTimeMillis();
            Thread resumer =
                    Tasks.start(
                            "resume",
                            () -> {
                                Tasks.sleep(Duration.ofSeconds(2));
                                resume("daemon-3");
                            });
            ExitCode code =
                    fleet.fleet().operator("anna").run("domain", "out", DOMAIN.value()).code();
            // The result is INCOMPLETE if the paused daemon did not acknowledge the order in time.
            assertTrue(code == ExitCode.OK || code == ExitCode.INCOMPLETE, code::toString);
            long orderResultAt = System.currentTimeMillis();
            resumer.join();
            Tasks.sleep(Duration.ofMillis(orderedAt + 7_000 - System.currentTimeMillis()));
            long end = System.currentTimeMillis();
            List<ChatResult> results = load.stop();
            EngineChecks checks = fleet.engineChecks();
            long bound = orderedAt + ORDER_BOUND_MS;
            LOG.atInfo().log(
                    "domain out of service: order returned after %d ms, requests accepted in the "
                            + "domain: %d before, %d until 1 s, %d from 1 s to 3 s, "
                            + "%d from 3 s on; in the other domain: %d from 3 s on; "
                            + "%d responses, max duration %s",
                    orderResultAt - orderedAt,
                    checks.accepts(DOMAIN, loadStart, orderedAt),
                    checks.accepts(DOMAIN, orderedAt, orderedAt + 1_000),
                    checks.accepts(DOMAIN, orderedAt + 1_000, bound),
                    checks.accepts(DOMAIN, bound, Long.MAX_VALUE),
                    checks.accepts(OTHER_DOMAIN, bound, end),
                    results.size(),
                    ChatChecks.maxDuration(results));
            assertEquals(0, checks.accepts(DOMAIN, bound, Long.MAX_VALUE));
            assertTrue(
                    checks.accepts(DOMAIN, loadStart, orderedAt) > 0,
                    "the domain accepted no request before the order");
            assertTrue(
                    checks.accepts(OTHER_DOMAIN, bound, end) > 0,
                    "the other domain accepted no request after the order");
            ChatChecks.assertComplete(results);
        }

        private static void resume(String daemon) {
            try {
                fleet.fleet().process(daemon).signal("CONT");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
