package org.godwithoist.edge;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.godwithoist.catalog.Route;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.log.LogLine;
import org.godwithoist.dispatch.AttemptResult;
import org.godwithoist.dispatch.ConnectionRecord;
import org.godwithoist.dispatch.EndEvidence;
import org.godwithoist.dispatch.Refusal;
import org.godwithoist.dispatch.Request;
import org.godwithoist.dispatch.RequestObserver;
import org.godwithoist.dispatch.RequestOutcome;
import org.godwithoist.dispatch.ResponseBody;
import org.godwithoist.dispatch.RouteResponses;
import org.godwithoist.dispatch.ToldEnd;
import org.godwithoist.forwarding.ForwardingPeers;
import org.godwithoist.targets.Placement;
import org.godwithoist.targets.PromptPartId;
import org.godwithoist.targets.SoftwareVersion;
import org.godwithoist.targets.Target;

/** Writes log events and metrics for each attempt and each request. Thread-safe. */
final class RequestLog implements RequestObserver {
    private static final int MAX_LOGGED_PARTS = 16;

    private final EventLog log;
    private final EdgeMetrics metrics;

    RequestLog(EventLog log, EdgeMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void attempted(
            Request request, Placement.Decision decision, AttemptResult result, Duration duration) {
        metrics.recordAttempt(result.outcome());
        Placement.Reason reason = decision.reason();
        LogLine line =
                log.event("attempt")
                        .with("id", request.head().id().value())
                        .with(recipient(decision.target()), decision.target().id().value())
                        .with("version", version(decision.target()))
                        .with("outcome", result.outcome().name())
                        .with("detail", String.valueOf(result.detail()))
                        .with("load", Math.round(reason.load()))
                        .with("first", reason.rankedFirst())
                        .with("peers_told", reason.peersComplete())
                        .with("health", decision.target().health().name());
        request.head().resumes().ifPresent(r -> line.with("resumes", r.value()));
        if (reason.paused() > 0) {
            line.with("paused_targets", reason.paused());
        }
        if (reason.limited() > 0) {
            line.with("limited_targets", reason.limited());
        }
        if (reason.full() > 0) {
            line.with("full_targets", reason.full());
        }
        if (reason.leaving() > 0) {
            line.with("leaving_targets", reason.leaving());
        }
        reason.work().ifPresent(w -> addWork(w, line));
        if (Double.isFinite(reason.bound())) {
            line.with("bound", Math.round(reason.bound()));
        }
        request.head()
                .prefix()
                .ifPresent(
                        p ->
                                line.with("prompt", Long.toHexString(p.key().hash()))
                                        .with("shared_tokens", p.tokens()));
        decision.cachingEngine().ifPresent(t -> line.with("holder", t.id().value()));
        result.timeToFirstByte().ifPresent(t -> line.with("first_ms", t.toMillis()));
        result.body().ifPresent(b -> line.with("body_end", b.end().name()));
        result.lastEvent().ifPresent(i -> line.with("last_event", i));
        result.body().ifPresent(b -> addBody(b, line));
        result.connection().ifPresent(c -> addConnection(c, line));
        if (result.outcome().verdict().isTargetFailure()) {
            line.with("progress", result.progress().name());
            addIdentity(request, line);
        }
        line.with("ms", duration.toMillis()).write();
    }

    /** Returns the name of the field for who got the request. */
    private static String recipient(Target target) {
        return target.entry().service().equals(ForwardingPeers.SERVICE) ? "daemon" : "target";
    }

    private static String version(Target target) {
        return target.entry().version().map(SoftwareVersion::value).orElse("");
    }

    private static void addWork(Placement.WorkReason work, LogLine line) {
        line.with("expected_ms", Math.round(work.expectedMs()))
                .with("work_time", work.workTimePercent())
                .with("prefill_tokens", work.outstanding().prefill())
                .with("held_tokens", work.outstanding().held())
                .with("work_told", work.peersComplete());
    }

    private static void addBody(ResponseBody body, LogLine line) {
        line.with("body_bytes", body.bytes());
        body.evidence().ifPresent(e -> addEvidence(e, body.known(), line));
    }

    /** Adds what showed the end, and what it could be compared with if that was not its target. */
    private static void addEvidence(EndEvidence evidence, RouteResponses known, LogLine line) {
        line.with("end_evidence", evidence.name());
        if (evidence != EndEvidence.STATED) {
            line.with("ends_usual", known.endsAreUsual()).with("known_bodies", known.bodies());
        }
    }

    /** Adds what differs from an attempt on a new connection that the target keeps open. */
    private static void addConnection(ConnectionRecord connection, LogLine line) {
        if (connection.earlierRequests() > 0) {
            line.with("earlier_requests", connection.earlierRequests());
        }
        if (connection.strayResponses() > 0) {
            line.with("stray_responses", connection.strayResponses());
        }
        if (connection.closedByThisSide()) {
            line.with("closed_here", true);
        }
    }

    /**
     * Adds what other requests may have too: the parts in the order of the prompt, of which there
     * may be more than a line can show, and the fingerprint, by which repeats are recognized.
     */
    private static void addIdentity(Request request, LogLine line) {
        List<PromptPartId> parts = request.head().sharedParts();
        if (!parts.isEmpty()) {
            String ids =
                    parts.stream()
                            .limit(MAX_LOGGED_PARTS)
                            .map(PromptPartId::value)
                            .collect(Collectors.joining(","));
            line.with("parts", ids);
        }
        request.fingerprint().ifPresent(f -> line.with("request", f.value()));
    }

    @Override
    public void ended(
            Request request,
            Optional<Route> route,
            Optional<Refusal> refusal,
            RequestOutcome outcome,
            Optional<ToldEnd> told,
            long sentBytes,
            int attempts,
            Duration duration) {
        metrics.recordRequest(outcome, duration);
        LogLine line =
                log.event("call")
                        .with("id", request.head().id().value())
                        .with("route", route.map(r -> r.id().value()).orElse(""))
                        .with("end", outcome.name());
        refusal.ifPresent(r -> line.with("refusal", r.name()));
        request.head().resumes().ifPresent(r -> line.with("resumes", r.value()));
        if (request.admittedBy().isPresent()) {
            line.with("forwarded", true);
        }
        told.ifPresent(t -> line.with("told", t.name()));
        if (sentBytes > 0) {
            line.with("sent_bytes", sentBytes);
        }
        if (refusal.equals(Optional.of(Refusal.QUARANTINED))) {
            addIdentity(request, line);
        }
        line.with("attempts", attempts).with("ms", duration.toMillis()).write();
    }
}
