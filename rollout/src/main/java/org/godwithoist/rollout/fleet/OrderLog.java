package org.godwithoist.rollout.fleet;

import java.time.Duration;
import java.util.Locale;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.log.LogLine;
import org.godwithoist.rollout.Counts;
import org.godwithoist.rollout.Decision;
import org.godwithoist.rollout.Evidence;
import org.godwithoist.rollout.Progress;
import org.godwithoist.rollout.Release;
import org.godwithoist.rollout.RolloutOrder;

/** Writes the log events of one order. Used by one task at a time. */
final class OrderLog {
    private final RolloutOrder order;
    private final EventLog log;
    private boolean faultLogged;

    OrderLog(RolloutOrder order, EventLog log) {
        this.order = order;
        this.log = log;
    }

    void opened() {
        event("rollout_order").with("duration_ms", order.duration().toMillis()).write();
    }

    void withdrawn(boolean replaced) {
        event("rollout_withdrawn").with("replaced", replaced).write();
    }

    /** Logs the first fault that this daemon has found. */
    void fault(String reason) {
        if (!faultLogged) {
            faultLogged = true;
            event("rollout_fault").with("reason", reason).write();
        }
    }

    void decision(Decision decision, Evidence total, Duration age) {
        withFigures(withProgress(event("rollout_decision"), decision.next()), total)
                .with("age_ms", age.toMillis())
                .with("reason", decision.reason())
                .write();
    }

    void ended(Progress end, Evidence total) {
        withFigures(withProgress(event("rollout_ended"), end), total).write();
    }

    private static LogLine withProgress(LogLine line, Progress progress) {
        return line.with("state", progress.state().name())
                .with("share", String.valueOf(progress.share()))
                .with("term", progress.term())
                .with("step", progress.step());
    }

    private static LogLine withFigures(LogLine line, Evidence total) {
        LogLine result = line;
        for (Release release : Release.values()) {
            String name = release.name().toLowerCase(Locale.ROOT);
            Counts counts = total.total(release);
            result =
                    result.with(name + "_sent", counts.sent())
                            .with(name + "_answers", counts.answers())
                            .with(name + "_failures", counts.failures())
                            .with(name + "_in_flight", counts.inFlight());
        }
        return result;
    }

    private LogLine event(String name) {
        return log.event(name)
                .with("service", order.service().value())
                .with("order", order.id().toString())
                .with("to", order.to().value());
    }
}
