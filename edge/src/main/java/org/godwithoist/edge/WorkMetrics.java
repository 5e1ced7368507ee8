package org.godwithoist.edge;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import java.util.concurrent.atomic.LongAdder;
import org.godwithoist.platform.LoadReportCounter;
import org.godwithoist.targets.FleetWork;
import org.godwithoist.targets.TokenWork;

/** Metrics of the work of targets and of the reports on it. Thread-safe. */
final class WorkMetrics implements LoadReportCounter {
    private final LongAdder unreadableReports = new LongAdder();
    private final LongAdder unreadableFigures = new LongAdder();
    private final FleetWork work;

    WorkMetrics(FleetWork work) {
        this.work = work;
    }

    @Override
    public void countUnreadableReport() {
        unreadableReports.increment();
    }

    @Override
    public void countUnreadableFigure() {
        unreadableFigures.increment();
    }

    CounterSnapshot unreadableReports() {
        return CounterSnapshot.builder()
                .name("godwithoist_unreadable_load_reports")
                .help(
                        "Load reports of targets that could not be read, or whose work time could not")
                .dataPoint(point("report", unreadableReports.sum()))
                .dataPoint(point("work_time", unreadableFigures.sum()))
                .build();
    }

    private static CounterSnapshot.CounterDataPointSnapshot point(String part, long value) {
        return CounterSnapshot.CounterDataPointSnapshot.builder()
                .labels(Labels.of("part", part))
                .value((double) value)
                .build();
    }

    GaugeSnapshot slowTargets() {
        return EdgeMetrics.gauge(
                "godwithoist_slow_targets",
                "Targets on whose hosts work takes much longer than usual now",
                (double) work.slowTargets());
    }

    GaugeSnapshot outstandingTokens() {
        TokenWork outstanding = work.outstanding();
        return GaugeSnapshot.builder()
                .name("godwithoist_outstanding_tokens")
                .help("Tokens of requests of all daemons at engines, by what is due")
                .dataPoint(gaugePoint("prefill", outstanding.prefill()))
                .dataPoint(gaugePoint("held", outstanding.held()))
                .build();
    }

    private static GaugeSnapshot.GaugeDataPointSnapshot gaugePoint(String part, long value) {
        return GaugeSnapshot.GaugeDataPointSnapshot.builder()
                .labels(Labels.of("part", part))
                .value((double) value)
                .build();
    }
}
