package org.godwithoist.edge;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.List;
import org.godwithoist.streams.RecordedOrigins;

/** Metrics of the streams that callers take up again. */
final class StreamMetrics {
    private StreamMetrics() {}

    static List<MetricSnapshot> of(RecordedOrigins origins) {
        CounterSnapshot.Builder found =
                CounterSnapshot.builder()
                        .name("godwithoist_stream_origins")
                        .help("Streams taken up again, by where their version was found");
        origins.found()
                .forEach(
                        (source, count) ->
                                found.dataPoint(
                                        CounterSnapshot.CounterDataPointSnapshot.builder()
                                                .labels(Labels.of("source", source.name()))
                                                .value((double) count)
                                                .build()));
        return List.of(
                found.build(),
                EdgeMetrics.gauge(
                        "godwithoist_streams_remembered",
                        "Streams whose version this daemon remembers",
                        origins.remembered()));
    }
}
