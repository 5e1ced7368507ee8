package org.godwithoist.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.standins.edge.ClientStandin;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.LimitedPlaces;
import org.godwithoist.standins.edge.RunnerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Scenario: the targets of a service fail if they must reject more requests than they survive. */
final class RejectionLimitTest {
    private static final int DAEMONS = 4;
    private static final int TARGETS = 4;
    private static final int MAX_REJECTIONS = 2;

    /** Time after the first statement from which the failures count. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    /** Time after which all daemons divide limits among the whole fleet. */
    private static final Duration JOINING_TIME = Duration.ofSeconds(16);

    private static final Duration MEASURED_TIME = Duration.ofSeconds(5);
    private static final Duration SERVICE_TIME = Duration.ofMillis(300);

    /** Failures that the users' rule permits, beside a tenth of the targets. */
    private static final int TOLERATED_FAILURES = 2;

    private EdgeFixture fleet;
    private final List<Edge> others = new ArrayList<>();
    private final List<Endpoint> daemons = new ArrayList<>();
    private final List<RunnerStandin> targets = new ArrayList<>();
    private final List<LimitedPlaces> places = new ArrayList<>();

    @BeforeEach
    void startFleet() throws IOException {
        fleet = new EdgeFixture(1, 0);
        for (int i = 0; i < TARGETS; i++) {
            RunnerStandin target = new RunnerStandin("clerk-" + i, "desk", 0, SERVICE_TIME);
            LimitedPlaces limited = new LimitedPlaces(RunnerStandin.SLOTS, MAX_REJECTIONS);
            target.setLimitedPlaces(limited);
            targets.add(target);
            places.add(limited);
            fleet.register(target);
        }
        daemons.add(fleet.edge.callerAddress());
        for (int i = 1; i < DAEMONS; i++) {
            Edge another = fleet.startAnother("edge-" + (i + 1));
            others.add(another);
            EdgeFixture.await(
                    "readiness of another daemon",
                    () -> fleet.status(another.readinessAddress(), "/readiness") == 200);
            daemons.add(another.callerAddress());
        }
    }

    @AfterEach
    void stopFleet() throws IOException {
        for (Edge another : others) {
            another.close();
        }
        for (RunnerStandin target : targets) {
            target.close();
        }
        fleet.close();
    }

    private int failuresSince(long from) {
        return places.stream().mapToInt(p -> p.failuresSince(from)).sum();
    }

    /** Callers that each send one request after the other, to the daemons in turn. */
    private final class Callers implements AutoCloseable {
        private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofMillis(50);

        private final AtomicBoolean ended = new AtomicBoolean();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger refusedWithoutDelay = new AtomicInteger();
        private final List<Thread> tasks = new ArrayList<>();

        Callers(int count, Duration pauseAfterResponse) {
            for (int i = 0; i < count; i++) {
                int first = i;
                tasks.add(Tasks.start("caller-" + i, () -> send(first, pauseAfterResponse)));
            }
        }

        private void send(int first, Duration pauseAfterResponse) {
            for (int i = first; !ended.get(); i++) {
                boolean isServed = isServed(daemons.get(i % DAEMONS));
                Tasks.sleep(isServed ? pauseAfterResponse : PAUSE_AFTER_REFUSAL);
            }
        }

        private boolean isServed(Endpoint daemon) {
            try (ClientStandin client = new ClientStandin(daemon)) {
                Map<String, String> fields = fleet.validFields();
                client.send("POST", ConfigText.BOOKING + "x", fields, "text");
                ClientStandin.Response response = client.receive();
                if (response.status() == 200) {
                    served.incrementAndGet();
                    return true;
                }
                boolean refused = response.status() == 503;
                if (refused && response.field("Retry-After") == null) {
                    refusedWithoutDelay.incrementAndGet();
                }
                return false;
            } catch (IOException e) {
                // A target that fails may break off a response.
                return false;
            }
        }

        @Override
        public void close() {
            ended.set(true);
            for (Thread task : tasks) {
                try {
                    task.join();
                } catch (InterruptedException e) {
                    throw new AssertionError("interrupted", e);
                }
            }
        }
    }

    private void assertFewFailures(long from) {
        int failures = failuresSince(from);
        double bound = TOLERATED_FAILURES + 0.1 * TARGETS;
        assertTrue(failures <= bound, failures + " failures; at most " + bound);
    }

    @Nested
    final class MoreCallersThanPlaces {
        private static final int CALLERS = 80;

        /** Requests that the targets can serve in the measured time. */
        private static final double CAPACITY =
                (double) TARGETS
                        * RunnerStandin.SLOTS
                        * MEASURED_TIME.toMillis()
                        / SERVICE_TIME.toMillis();

        /** Guards against targets that fail because all daemons fill the same places. */
        @Test
        void targetsStayAndAreUsed() {
            Tasks.sleep(JOINING_TIME);
            try (Callers callers = new Callers(CALLERS, Duration.ZERO)) {
                Tasks.sleep(CONTACT_TIME);
                long from = System.nanoTime();
                int before = callers.served.get();
                Tasks.sleep(MEASURED_TIME);
                int served = callers.served.get() - before;
                assertFewFailures(from);
                assertTrue(served >= 0.6 * CAPACITY, "served: " + served + " of " + CAPACITY);
                assertEquals(0, callers.refusedWithoutDelay.get(), "refused without a delay");
            }
        }
    }

    /** Scenario: the daemons have just started and do not all know each other. */
    @Nested
    final class Bursts {
        private static final int CALLERS = 60;
        private static final Duration BURST = Duration.ofMillis(400);
        private static final Duration CALM = Duration.ofMillis(600);

        /** Guards against bursts at idle targets, whose places all daemons see at the same time. */
        @Test
        void targetsStay() {
            try (Callers callers = new Callers(2, Duration.ofMillis(100))) {
                Tasks.sleep(CONTACT_TIME);
                long from = System.nanoTime();
                while (System.nanoTime() - from < MEASURED_TIME.toNanos()) {
                    Callers burst = new Callers(CALLERS, Duration.ZERO);
                    Tasks.sleep(BURST);
                    burst.close();
                    Tasks.sleep(CALM);
                }
                assertFewFailures(from);
                assertTrue(callers.served.get() > 0, "nothing was served");
            }
        }
    }
}
