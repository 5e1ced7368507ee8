package org.godwithoist.edge;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.godwithoist.overload.OverloadControl;
import org.godwithoist.overload.ServiceStatus;

/** Metrics of the admission to services with insufficient capacity. */
final class CapacityMetrics {
    private final OverloadControl overload;

    CapacityMetrics(OverloadControl overload) {
        this.overload = overload;
    }

    /** Returns the current values. */
    List<MetricSnapshot> snapshots() {
        List<ServiceStatus> statuses = overload.statuses();
        return List.of(
                gauge(
                        "godwithoist_capacity_limited",
                        "Whether requests are limited because the targets are full",
                        statuses,
                        s -> s.limited() ? 1 : 0),
                gauge(
                        "godwithoist_capacity_limit",
                        "Slots that this daemon may use while requests are limited",
                        statuses,
                        ServiceStatus::limit),
                gauge(
                        "godwithoist_capacity_in_progress",
                        "Requests of this daemon that have a slot",
                        statuses,
                        ServiceStatus::inProgress),
                gauge(
                        "godwithoist_capacity_waiting",
                        "Requests that wait for a slot",
                        statuses,
                        ServiceStatus::waiting),
                gauge(
                        "godwithoist_capacity_workspaces_over_share",
                        "Workspaces that use more than their share",
                        statuses,
                        ServiceStatus::overShare),
                refusals(statuses));
    }

    private static GaugeSnapshot gauge(
            String name,
            String help,
            List<ServiceStatus> statuses,
            ToDoubleFunction<ServiceStatus> value) {
        GaugeSnapshot.Builder gauge = GaugeSnapshot.builder().name(name).help(help);
        for (ServiceStatus s : statuses) {
            gauge.dataPoint(
                    GaugeSnapshot.GaugeDataPointSnapshot.builder()
                            .labels(Labels.of("service", s.service().value()))
                            .value(value.applyAsDouble(s))
                            .build());
        }
        return gauge.build();
    }

    private static CounterSnapshot refusals(List<ServiceStatus> statuses) {
        CounterSnapshot.Builder counter =
                CounterSnapshot.builder()
                        .name("godwithoist_capacity_refused")
                        .help("Requests refused because the targets are full");
        for (ServiceStatus s : statuses) {
            s.refused()
                    .forEach(
                            (reason, n) ->
                                    counter.dataPoint(
                                            CounterSnapshot.CounterDataPointSnapshot.builder()
                                                    .labels(
                                                            Labels.of(
                                                                    "service",
                                                                    s.service().value(),
                                                                    "reason",
                                                                    reason.name()))
                                                    .value((double) n)
                                                    .build()));
        }
        return counter.build();
    }
}
