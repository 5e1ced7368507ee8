package org.godwithoist.edge;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import org.godwithoist.dispatch.AttemptOutcome;
import org.godwithoist.dispatch.RequestOutcome;

/**
 * Counters and latencies of this daemon. They are plain numbers until the page is asked for: the
 * classes of the metrics library would lengthen each start. Thread-safe.
 */
final class EdgeMetrics {
    private static final double[] BOUNDS_S = {
        0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, Double.POSITIVE_INFINITY
    };
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<AttemptOutcome, LongAdder> attempts = new EnumMap<>(AttemptOutcome.class);
    private final Map<RequestOutcome, Latencies> calls = new EnumMap<>(RequestOutcome.class);

    /** Times of calls that ended in one way. */
    private static final class Latencies {
        private final AtomicLongArray counts = new AtomicLongArray(BOUNDS_S.length);
        private final LongAdder nanos = new LongAdder();

        private void add(Duration took) {
            double seconds = took.toNanos() / NANOS_PER_SECOND;
            int bucket = 0;
            while (seconds > BOUNDS_S[bucket]) {
                bucket++;
            }
            counts.incrementAndGet(bucket);
            nanos.add(took.toNanos());
        }

        private HistogramSnapshot.HistogramDataPointSnapshot snapshot(RequestOutcome end) {
            Number[] numbers = new Number[BOUNDS_S.length];
            Arrays.setAll(numbers, counts::get);
            return HistogramSnapshot.HistogramDataPointSnapshot.builder()
                    .labels(Labels.of("end", end.name()))
                    .classicHistogramBuckets(ClassicHistogramBuckets.of(BOUNDS_S, numbers))
                    .sum(nanos.sum() / NANOS_PER_SECOND)
                    .build();
        }
    }

    EdgeMetrics() {
        for (AttemptOutcome o : AttemptOutcome.values()) {
            attempts.put(o, new LongAdder());
        }
        for (RequestOutcome e : RequestOutcome.values()) {
            calls.put(e, new Latencies());
        }
    }

    void attempted(AttemptOutcome outcome) {
        attempts.get(outcome).increment();
    }

    void ended(RequestOutcome end, Duration took) {
        calls.get(end).add(took);
    }

    /** Returns all metrics in the Prometheus text format. */
    byte[] text() throws IOException {
        CounterSnapshot.Builder counters =
                CounterSnapshot.builder()
                        .name("godwithoist_attempts")
                        .help("Attempts at targets by outcome");
        for (AttemptOutcome o : AttemptOutcome.values()) {
            counters.dataPoint(
                    CounterSnapshot.CounterDataPointSnapshot.builder()
                            .labels(Labels.of("outcome", o.name()))
                            .value((double) attempts.get(o).sum())
                            .build());
        }
        HistogramSnapshot.Builder times =
                HistogramSnapshot.builder()
                        .name("godwithoist_call_seconds")
                        .help("Time from the last byte of a call to its end, by end");
        for (RequestOutcome end : RequestOutcome.values()) {
            times.dataPoint(calls.get(end).snapshot(end));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.builder()
                .build()
                .write(out, MetricSnapshots.of(counters.build(), times.build()));
        return out.toByteArray();
    }
}
