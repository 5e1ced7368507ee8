package org.godwithoist.loadtool.experiment;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import java.time.Duration;
import java.util.Map;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.loadtool.load.BlockingHttpClient;
import org.godwithoist.loadtool.load.EngineChecks;
import org.godwithoist.loadtool.load.FleetMap;
import org.godwithoist.loadtool.load.GuaranteeChecks;
import org.godwithoist.loadtool.load.Summary;
import org.godwithoist.loadtool.load.TurnResult;
import org.godwithoist.loadtool.trace.Deployment;

/**
 * Environment and parameters of an experiment.
 *
 * @param vertx Vert.x instance for the callers
 * @param http client for short requests to daemons and stand-ins
 * @param fleet addresses of the running processes
 * @param deployment mix of the chats
 * @param seed seed of the trace
 * @param duration duration of the load
 * @param callers number of concurrent callers; each sends one chat after another
 * @param rate requests per second, for experiments with a fixed rate
 * @param guarantees collects the results of the checks
 */
record ExperimentContext(
        Vertx vertx,
        BlockingHttpClient http,
        FleetMap fleet,
        Deployment deployment,
        long seed,
        Duration duration,
        int callers,
        int rate,
        GuaranteeChecks guarantees) {
    /** Reads the logs of all engines, including the spares. */
    EngineChecks engineChecks() {
        EngineChecks checks = new EngineChecks(AdmissionLimits.DEFAULT);
        fleet.engines().forEach(e -> checks.add(e.id(), e.failureDomain(), log(e)));
        fleet.spares().forEach(e -> checks.add(e.id(), e.failureDomain(), log(e)));
        return checks;
    }

    /** Checks the guarantees that apply to every experiment with chats. */
    void checkChatGuarantees(Summary turns, EngineChecks.Skew skew) {
        guarantees.check(
                turns.count(TurnResult.Outcome.WRONG) == 0,
                "no answer was mixed: " + turns.count(TurnResult.Outcome.WRONG));
        guarantees.check(
                turns.count(TurnResult.Outcome.LOST) == 0 && turns.brokenAttempts() == 0,
                "no answer was cut or lost: "
                        + turns.brokenAttempts()
                        + " cut, "
                        + turns.count(TurnResult.Outcome.LOST)
                        + " lost");
        guarantees.check(
                skew.violations() == 0,
                "no engine was above the skew bound: "
                        + skew.violations()
                        + " of "
                        + skew.accepts()
                        + " accepts, largest load "
                        + skew.peakLoad());
        skew.aboveBound().forEach(v -> System.out.println("          " + v));
        guarantees.check(
                skew.coldViolations() == 0,
                "no cold engine was above its limit: " + skew.coldViolations());
    }

    private JsonArray log(FleetMap.TargetAddress engine) {
        return http.getJson(engine.endpoint(), "/log", Map.of()).getJsonArray("log");
    }
}
