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
 * What an experiment needs.
 *
 * @param vertx runs the callers
 * @param calls short calls to daemons and stand-ins
 * @param fleet the running processes
 * @param deployment kind of the chats
 * @param seed seed of the trace
 * @param duration time for which the load runs
 * @param callers callers at the same time; each holds one chat after the other
 * @param rate requests per second of experiments with a fixed rate
 * @param promises takes the checked bounds
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
    /** Reads the logs of all engines, spares included. */
    EngineChecks engineChecks() {
        EngineChecks checks = new EngineChecks(AdmissionLimits.DEFAULT);
        fleet.engines().forEach(e -> checks.add(e.id(), e.failureDomain(), log(e)));
        fleet.spares().forEach(e -> checks.add(e.id(), e.failureDomain(), log(e)));
        return checks;
    }

    /** Checks the promises that hold in every experiment with chats. */
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
