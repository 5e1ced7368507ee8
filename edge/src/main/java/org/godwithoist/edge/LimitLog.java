package org.godwithoist.edge;

import java.util.Optional;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.log.LogLine;
import org.godwithoist.targets.LimitObserver;
import org.godwithoist.targets.LimitSource;
import org.godwithoist.targets.RateLimit;
import org.godwithoist.targets.RejectionLimit;
import org.godwithoist.targets.Target;

/** Writes a log event when a limit of a target begins, changes or ends. Thread-safe. */
final class LimitLog implements LimitObserver {
    private final EventLog log;

    LimitLog(EventLog log) {
        this.log = log;
    }

    @Override
    public void rateLimitChanged(Target target, Optional<RateLimit> limit, LimitSource source) {
        LogLine line = log.event("target_rate_limit").with("target", target.id().value());
        limit.ifPresent(l -> line.with("per_s", l.toString()));
        line.with("in_force", limit.isPresent()).with("source", source.name()).write();
    }

    @Override
    public void rateUnusable(Target target, String value) {
        writeUnusable("target_rate_limit_unusable", target, value);
    }

    @Override
    public void rejectionLimitChanged(
            Target target, Optional<RejectionLimit> limit, LimitSource source) {
        LogLine line = log.event("target_rejection_limit").with("target", target.id().value());
        limit.ifPresent(l -> line.with("per_s", l.perSecond()));
        line.with("in_force", limit.isPresent()).with("source", source.name()).write();
    }

    @Override
    public void rejectionLimitUnusable(Target target, String value) {
        writeUnusable("target_rejection_limit_unusable", target, value);
    }

    private void writeUnusable(String event, Target target, String value) {
        log.event(event).with("target", target.id().value()).with("value", value).write();
    }
}
