package org.godwithoist.edge;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.log.LogLine;
import org.godwithoist.dispatch.AttemptResult;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.Request;
import org.godwithoist.dispatch.RequestObserver;
import org.godwithoist.dispatch.RequestOutcome;
import org.godwithoist.targets.Placement;

/** Writes log events and metrics for each attempt and each request. Thread-safe. */
final class RequestLog implements RequestObserver {
    private final EventLog log;
    private final EdgeMetrics metrics;

    RequestLog(EventLog log, EdgeMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void attempted(
            Request call, Placement.Decision placed, AttemptResult result, Duration duration) {
        metrics.recordAttempt(result.outcome());
        Placement.Reason grounds = placed.reason();
        LogLine line =
                log.event("attempt")
                        .with("id", call.head().id().value())
                        .with("target", placed.target().id().value())
                        .with("outcome", result.outcome().name())
                        .with("detail", String.valueOf(result.detail()))
                        .with("load", Math.round(grounds.load()))
                        .with("first", grounds.rankedFirst())
                        .with("peers_told", grounds.peersComplete())
                        .with("health", placed.target().health().name());
        if (Double.isFinite(grounds.bound())) {
            line.with("bound", Math.round(grounds.bound()));
        }
        call.head()
                .prefix()
                .ifPresent(
                        p ->
                                line.with("prompt", Long.toHexString(p.key().hash()))
                                        .with("shared_tokens", p.tokens()));
        placed.cachingEngine().ifPresent(h -> line.with("holder", h.id().value()));
        result.timeToFirstByte().ifPresent(t -> line.with("first_ms", t.toMillis()));
        line.with("ms", duration.toMillis()).write();
    }

    @Override
    public void ended(
            Request call,
            Optional<Route> route,
            Optional<Refusal> refusal,
            RequestOutcome end,
            int attempts,
            Duration duration) {
        metrics.recordRequest(end, duration);
        LogLine line =
                log.event("call")
                        .with("id", call.head().id().value())
                        .with("route", route.map(r -> r.id().value()).orElse(""))
                        .with("end", end.name());
        refusal.ifPresent(r -> line.with("refusal", r.name()));
        line.with("attempts", attempts).with("ms", duration.toMillis()).write();
    }
}
