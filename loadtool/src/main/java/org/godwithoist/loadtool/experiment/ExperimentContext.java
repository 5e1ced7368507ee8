package org.godwithoist.loadtool.experiment;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import java.time.Duration;
import java.util.Map;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.loadtool.load.EngineChecks;
import org.godwithoist.loadtool.load.FleetMap;
import org.godwithoist.loadtool.load.HttpCalls;
import org.godwithoist.loadtool.load.Promises;
import org.godwithoist.loadtool.load.Summary;
import org.godwithoist.loadtool.load.TurnResult;
import org.godwithoist.loadtool.trace.Deployment;

/**
 * Environment and parameters of an experiment.
 *
 * @param vertx Vert.x instance for the callers
 * @param calls client for short requests to daemons and stand-ins
 * @param fleet addresses of the running processes
 * @param deployment mix of the chats
 * @param seed seed of the trace
 * @param duration duration of the load
 * @param callers number of concurrent callers; each sends one chat after another
 * @param rate requests per second, for experiments with a fixed rate
 * @param promises collects the results of the checks
 */
record ExperimentContext(
        Vertx vertx,
        HttpCalls calls,
        FleetMap fleet,
        Deployment deployment,
        long seed,
        Duration duration,
        int callers,
        int rate,
        Promises promises) {
    /** Reads the logs of all engines, including the spares. */
    EngineChecks engineChecks() {
        EngineChecks checks = new EngineChecks(AdmissionLimits.DEFAULT);
        fleet.engines().forEach(e -> checks.add(e.id(), e.failureDomain(), log(e)));
        fleet.spares().forEach(e -> checks.add(e.id(), e.failureDomain(), log(e)));
        return checks;
    }

    /** Checks the guarantees that apply to every experiment with chats. */
    void checkCommon(Summary turns, EngineChecks.Skew skew) {
        promises.check(
                turns.count(TurnResult.Outcome.WRONG) == 0,
                "no answer was mixed: " + turns.count(TurnResult.Outcome.WRONG));
        promises.check(
                turns.count(TurnResult.Outcome.LOST) == 0 && turns.cuts() == 0,
                "no answer was cut or lost: "
                        + turns.cuts()
                        + " cut, "
                        + turns.count(TurnResult.Outcome.LOST)
                        + " lost");
        promises.check(
                skew.violations() == 0,
                "no engine was above the skew bound: "
                        + skew.violations()
                        + " of "
                        + skew.accepts()
                        + " accepts, largest load "
                        + skew.peakLoad());
        skew.aboveBound().forEach(v -> System.out.println("          " + v));
        promises.check(
                skew.coldViolations() == 0,
                "no cold engine was above its limit: " + skew.coldViolations());
    }

    private JsonArray log(FleetMap.TargetAddress engine) {
        return calls.get(engine.endpoint(), "/log", Map.of()).getJsonArray("log");
    }
}
