package org.godwithoist.acceptance.faults;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.godwithoist.acceptance.Fleet;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.loadtool.load.EngineChecks;
import org.godwithoist.standins.engine.EngineOptions;

/** A fleet of real processes with ready daemons, and access to the logs that tests check. */
final class FaultFleet implements AutoCloseable {
    /** Seed of all random choices, set with {@code -Dfaults.seed=N}. */
    static final long SEED = Long.getLong("faults.seed", 1);

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration WARM_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final int OK = 200;

    private final Fleet fleet;
    private final int engines;
    private final List<String> daemons = new ArrayList<>();

    FaultFleet(int engines, int daemons) throws IOException, InterruptedException {
        this.engines = engines;
        fleet = new Fleet(Files.createTempDirectory("godwithoist-faults"));
        fleet.start(engines, daemons);
        for (int i = 1; i <= daemons; i++) {
            this.daemons.add("daemon-" + i);
            awaitReady("daemon-" + i);
        }
        LOG.atInfo().log("fleet with seed %d is ready", SEED);
    }

    Fleet fleet() {
        return fleet;
    }

    List<String> daemons() {
        return daemons;
    }

    void awaitReady(String daemon) throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (System.nanoTime() < end) {
            if (fleet.send("GET", daemon, "/readyz", "", Map.of()).statusCode() == OK) {
                return;
            }
            Tasks.sleep(POLL_INTERVAL);
        }
        throw new AssertionError(
                daemon + " is not ready: /readyz did not return 200 within " + READY_TIMEOUT);
    }

    /** Sets fault switches of a stand-in and keeps the others. */
    void setFaults(String standin, JsonObject switches) throws IOException, InterruptedException {
        fleet.send("POST", standin, "/faults", switches.encode(), Map.of());
    }

    /** Reads the entries that a stand-in has logged so far. */
    JsonArray log(String standin) throws IOException, InterruptedException {
        return new JsonObject(fleet.send("GET", standin, "/log", "", Map.of()).body())
                .getJsonArray("log");
    }

    /** Returns checks over the current logs of all engines. */
    EngineChecks engineChecks() throws IOException, InterruptedException {
        EngineChecks checks = new EngineChecks(AdmissionLimits.DEFAULT);
        for (int i = 1; i <= engines; i++) {
            checks.add(
                    new TargetId("engine-" + i),
                    new FailureDomainId(Fleet.domainOf(i)),
                    log("engine-" + i));
        }
        return checks;
    }

    /** Waits until every engine has finished enough requests to be warm. */
    void awaitWarmEngines() throws IOException, InterruptedException {
        long end = System.nanoTime() + WARM_TIMEOUT.toNanos();
        for (int i = 1; i <= engines; i++) {
            while (finished("engine-" + i) < EngineOptions.DEFAULT.warmupResponses()) {
                if (System.nanoTime() - end > 0) {
                    throw new AssertionError(
                            "engine-" + i + " did not finish enough requests to become warm");
                }
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
        }
    }

    private long finished(String engine) throws IOException, InterruptedException {
        return log(engine).stream()
                .filter(e -> "finished".equals(((JsonObject) e).getString("kind")))
                .count();
    }

    /** Returns the number of requests that an engine accepted and has not ended. */
    long inProgress(String engine) throws IOException, InterruptedException {
        long open = 0;
        for (Object o : log(engine)) {
            open +=
                    switch (((JsonObject) o).getString("kind")) {
                        case "accepted" -> 1;
                        case "finished", "cancelled" -> -1;
                        default -> 0;
                    };
        }
        return open;
    }

    /** Returns the number of requests in progress at all engines. */
    long inProgress() throws IOException, InterruptedException {
        long open = 0;
        for (int i = 1; i <= engines; i++) {
            open += inProgress("engine-" + i);
        }
        return open;
    }

    /** Reads the usage of all workspaces from a daemon's operator port. */
    UsageSnapshot usage(String daemon) throws IOException, InterruptedException {
        JsonObject body =
                new JsonObject(
                        fleet.send(
                                        "GET",
                                        daemon + "-operators",
                                        "/v1/usage",
                                        "",
                                        Map.of("Authorization", "Bearer " + fleet.operatorToken()))
                                .body());
        return UsageSnapshot.of(body);
    }

    /** Returns the usage of each workspace according to the engines' own logs. */
    Map<String, UsageSnapshot.Count> engineUsage() throws IOException, InterruptedException {
        Map<String, UsageSnapshot.Count> counts = new TreeMap<>();
        engineChecks()
                .usage()
                .forEach(
                        (w, sum) -> counts.put(w, new UsageSnapshot.Count(sum[0], sum[1], sum[2])));
        return counts;
    }

    @Override
    public void close() {
        fleet.close();
    }
}
