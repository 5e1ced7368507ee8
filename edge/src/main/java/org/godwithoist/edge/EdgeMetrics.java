package org.godwithoist.edge;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.godwithoist.dispatch.AttemptOutcome;
import org.godwithoist.dispatch.MemoryBudget;
import org.godwithoist.dispatch.RequestOutcome;
import org.godwithoist.dispatch.http.ConnectionLimit;
import org.godwithoist.dispatch.http.StalledConnections;
import org.godwithoist.overload.OverloadControl;
import org.godwithoist.platform.LoadReportCounter;
import org.godwithoist.quarantine.Quarantine;
import org.godwithoist.targets.FleetWork;
import org.godwithoist.targets.TargetDirectory;

/**
 * Counters and latencies of this daemon. They are kept as plain numbers, and the metrics library is
 * used only to write them, because loading its classes would delay each start. Thread-safe.
 */
final class EdgeMetrics {
    private static final double[] BUCKET_BOUNDS_S = {
        0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, Double.POSITIVE_INFINITY
    };
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<AttemptOutcome, LongAdder> attempts = new EnumMap<>(AttemptOutcome.class);
    private final Map<RequestOutcome, LatencyHistogram> requests =
            new EnumMap<>(RequestOutcome.class);
    private final LongAdder taskFailures = new LongAdder();
    private final Quarantine quarantine;
    private final MemoryBudget memory;
    private final TargetDirectory directory;
    private final WorkMetrics work;
    private final CapacityMetrics capacity;
    private final Map<ConnectionLimit.Kind, ConnectionLimit> connectionLimits;
    private final StalledConnections stalledCallers;
    private final Supplier<List<MetricSnapshot>> others;

    /** Latency histogram of the requests with the same outcome. */
    private static final class LatencyHistogram {
        private final AtomicLongArray counts = new AtomicLongArray(BUCKET_BOUNDS_S.length);
        private final LongAdder totalNanos = new LongAdder();

        private void add(Duration duration) {
            double seconds = duration.toNanos() / NANOS_PER_SECOND;
            int bucket = 0;
            while (seconds > BUCKET_BOUNDS_S[bucket]) {
                bucket++;
            }
            counts.incrementAndGet(bucket);
            totalNanos.add(duration.toNanos());
        }

        private HistogramSnapshot.HistogramDataPointSnapshot snapshot(RequestOutcome outcome) {
            Number[] numbers = new Number[BUCKET_BOUNDS_S.length];
            Arrays.setAll(numbers, counts::get);
            return HistogramSnapshot.HistogramDataPointSnapshot.builder()
                    .labels(Labels.of("end", outcome.name()))
                    .classicHistogramBuckets(ClassicHistogramBuckets.of(BUCKET_BOUNDS_S, numbers))
                    .sum(totalNanos.sum() / NANOS_PER_SECOND)
                    .build();
        }
    }

    /**
     * Creates metrics without requests.
     *
     * @param others returns the metrics that others count
     */
    EdgeMetrics(
            Quarantine quarantine,
            MemoryBudget memory,
            TargetDirectory directory,
            FleetWork work,
            OverloadControl overload,
            Map<ConnectionLimit.Kind, ConnectionLimit> connectionLimits,
            StalledConnections stalledCallers,
            Supplier<List<MetricSnapshot>> others) {
        this.stalledCallers = stalledCallers;
        this.quarantine = quarantine;
        this.memory = memory;
        this.directory = directory;
        this.work = new WorkMetrics(work);
        capacity = new CapacityMetrics(overload);
        this.connectionLimits = connectionLimits;
        this.others = others;
        for (AttemptOutcome o : AttemptOutcome.values()) {
            attempts.put(o, new LongAdder());
        }
        for (RequestOutcome o : RequestOutcome.values()) {
            requests.put(o, new LatencyHistogram());
        }
    }

    void recordAttempt(AttemptOutcome outcome) {
        attempts.get(outcome).increment();
    }

    void recordRequest(RequestOutcome outcome, Duration duration) {
        requests.get(outcome).add(duration);
    }

    /** Counts an unexpected failure of a task. */
    void recordTaskFailure() {
        taskFailures.increment();
    }

    /** Returns the counter of load reports that cannot be read. */
    LoadReportCounter loadReportCounter() {
        return work;
    }

    private static CounterSnapshot counter(String name, String help, long value) {
        return CounterSnapshot.builder()
                .name(name)
                .help(help)
                .dataPoint(
                        CounterSnapshot.CounterDataPointSnapshot.builder()
                                .value((double) value)
                                .build())
                .build();
    }

    static GaugeSnapshot gauge(String name, String help, double value) {
        return GaugeSnapshot.builder()
                .name(name)
                .help(help)
                .dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().value(value).build())
                .build();
    }

    private GaugeSnapshot openConnections() {
        GaugeSnapshot.Builder connections =
                GaugeSnapshot.builder()
                        .name("godwithoist_open_connections")
                        .help("Open connections by kind");
        connectionLimits.forEach(
                (kind, limit) ->
                        connections.dataPoint(
                                GaugeSnapshot.GaugeDataPointSnapshot.builder()
                                        .labels(Labels.of("kind", kind.name()))
                                        .value(limit.open())
                                        .build()));
        return connections.build();
    }

    private CounterSnapshot connectionsClosedForRoom() {
        CounterSnapshot.Builder connections =
                CounterSnapshot.builder()
                        .name("godwithoist_connections_closed_for_room")
                        .help("Connections that were closed at the limit of their kind");
        connectionLimits.forEach(
                (kind, limit) ->
                        connections.dataPoint(
                                CounterSnapshot.CounterDataPointSnapshot.builder()
                                        .labels(Labels.of("kind", kind.name()))
                                        .value((double) limit.closedForRoom())
                                        .build()));
        return connections.build();
    }

    /** Returns all metrics in the Prometheus text format, in UTF-8. */
    byte[] toPrometheusText() throws IOException {
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
        HistogramSnapshot.Builder latencies =
                HistogramSnapshot.builder()
                        .name("godwithoist_call_seconds")
                        .help("Time from the last byte of a call to its end, by end");
        for (RequestOutcome outcome : RequestOutcome.values()) {
            latencies.dataPoint(requests.get(outcome).snapshot(outcome));
        }
        List<MetricSnapshot> all = new ArrayList<>(capacity.snapshots());
        all.addAll(others.get());
        all.addAll(
                List.of(
                        counters.build(),
                        latencies.build(),
                        counter(
                                "godwithoist_task_failures",
                                "Unexpected failures of tasks",
                                taskFailures.sum()),
                        counter(
                                "godwithoist_target_crashes",
                                "Requests under which a target crashed",
                                quarantine.observedCrashes()),
                        gauge(
                                "godwithoist_quarantined_prompts",
                                "Requests and sets of prompt parts that are kept away from targets",
                                quarantine.size()),
                        gauge(
                                "godwithoist_request_memory_bytes",
                                "Memory reserved for requests in progress",
                                (double) memory.reservedBytes()),
                        gauge(
                                "godwithoist_request_memory_limit_bytes",
                                "Memory that requests in progress may use",
                                (double) memory.limitBytes()),
                        counter(
                                "godwithoist_memory_refusals",
                                "Reservations of memory that were refused",
                                memory.refusals()),
                        counter(
                                "godwithoist_stalled_connections_closed",
                                "Connections without progress that made room for others",
                                stalledCallers.closed()),
                        gauge(
                                "godwithoist_rate_limited_targets",
                                "Targets that limit the requests of all daemons",
                                (double) directory.rateLimitedTargets()),
                        gauge(
                                "godwithoist_rejection_limited_targets",
                                "Targets that fail after a limited number of rejections",
                                (double) directory.rejectionLimitedTargets()),
                        work.unreadableReports(),
                        work.slowTargets(),
                        work.outstandingTokens(),
                        openConnections(),
                        connectionsClosedForRoom()));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.builder().build().write(out, new MetricSnapshots(all));
        return out.toByteArray();
    }
}
