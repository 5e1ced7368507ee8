package org.godwithoist.edge;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.List;
import org.godwithoist.forwarding.ForwardingCounts;
import org.godwithoist.forwarding.TargetReach;

/** Metrics of the requests that daemons pass on to each other. */
final class ForwardingMetrics {
    private ForwardingMetrics() {}

    /** Returns the current values. */
    static List<MetricSnapshot> of(TargetReach reach, ForwardingCounts counts) {
        CounterSnapshot requests =
                CounterSnapshot.builder()
                        .name("godwithoist_forwarded_requests")
                        .help("Requests passed on to other daemons, and taken from them")
                        .dataPoint(point("sent", counts.sent()))
                        .dataPoint(point("answered", counts.answered()))
                        .dataPoint(point("received", counts.received()))
                        .build();
        return List.of(
                requests,
                EdgeMetrics.gauge(
                        "godwithoist_targets_out_of_reach",
                        "Whether no target responds to this daemon",
                        reach.isLost() ? 1 : 0));
    }

    private static CounterSnapshot.CounterDataPointSnapshot point(String event, long count) {
        return CounterSnapshot.CounterDataPointSnapshot.builder()
                .labels(Labels.of("event", event))
                .value((double) count)
                .build();
    }
}
