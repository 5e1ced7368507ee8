package org.godwithoist.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Evidence of the other sources of an order, the latest of each. What a source has stated stays,
 * also when the source is gone, because its requests have been sent. Not thread-safe.
 */
final class FleetEvidence {
    /** Time after which the requests in flight of a silent source are no longer counted. */
    private static final Duration SOURCE_SILENCE = Duration.ofSeconds(2);

    private final Map<EvidenceSource, Statement> statements = new HashMap<>();
    private Evidence sum = Evidence.NONE;

    /** Takes a statement; one that is older than the last of its source changes nothing. */
    void receive(EvidenceSource source, Evidence evidence, long now) {
        Statement last = statements.get(source);
        if (last != null && evidence.sent() < last.evidence.sent()) {
            return;
        }
        sum = sum.plus(evidence);
        if (last != null) {
            sum = sum.minus(last.evidence);
        }
        long inFlight = evidence.total(Release.BASELINE).inFlight();
        statements.put(source, new Statement(evidence, inFlight, now));
    }

    Evidence sum() {
        return sum;
    }

    /** Returns the requests in flight at the baseline, of the sources heard recently. */
    long baselineInFlight(long now) {
        return statements.values().stream()
                .filter(s -> now - s.receivedAt <= SOURCE_SILENCE.toNanos())
                .mapToLong(Statement::baselineInFlight)
                .sum();
    }

    private record Statement(Evidence evidence, long baselineInFlight, long receivedAt) {}
}
