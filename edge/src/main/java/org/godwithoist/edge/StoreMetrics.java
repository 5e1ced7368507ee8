package org.godwithoist.edge;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.Map;
import org.godwithoist.platform.StoreCalls;

/** Metrics of the requests of this daemon to the store. */
final class StoreMetrics {
    private StoreMetrics() {}

    static MetricSnapshot of(Map<StoreCalls.Call, Long> counts) {
        CounterSnapshot.Builder calls =
                CounterSnapshot.builder()
                        .name("godwithoist_store_calls")
                        .help("Requests to the store by table and kind");
        counts.forEach(
                (call, count) ->
                        calls.dataPoint(
                                CounterSnapshot.CounterDataPointSnapshot.builder()
                                        .labels(
                                                Labels.of(
                                                        "kind",
                                                        call.kind().name(),
                                                        "table",
                                                        call.table()))
                                        .value((double) count)
                                        .build()));
        return calls.build();
    }
}
