package org.godwithoist.edge;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.List;
import org.godwithoist.rollout.Evidence;
import org.godwithoist.rollout.Progress;
import org.godwithoist.rollout.Release;
import org.godwithoist.rollout.RolloutOrder;
import org.godwithoist.rollout.RolloutState;
import org.godwithoist.rollout.Rollouts;

/** Metrics of the orders to roll out a version, as this daemon sees them. */
final class RolloutMetrics {
    private RolloutMetrics() {}

    static List<MetricSnapshot> of(
            Rollouts rollouts, List<RolloutOrder> orders, long rejectedOrders) {
        GaugeSnapshot.Builder shares =
                gauge("godwithoist_rollout_share", "Share of the traffic to the ordered version");
        GaugeSnapshot.Builder states =
                gauge("godwithoist_rollout_state", "1 for the state of each order");
        GaugeSnapshot.Builder requests =
                gauge(
                        "godwithoist_rollout_requests",
                        "Requests of the fleet since the order, by release");
        GaugeSnapshot.Builder failures =
                gauge(
                        "godwithoist_rollout_failures",
                        "Failed requests of the fleet since the order, by release");
        for (RolloutOrder order : orders) {
            Progress progress = rollouts.progress(order.service()).orElse(Progress.NONE);
            shares.dataPoint(point(labels(order), progress.share()));
            for (RolloutState state : RolloutState.values()) {
                Labels labels = labels(order).add("state", state.name());
                states.dataPoint(point(labels, progress.state() == state ? 1 : 0));
            }
            Evidence total = rollouts.fleetEvidence(order.service());
            for (Release release : Release.values()) {
                Labels labels = labels(order).add("release", release.name());
                requests.dataPoint(point(labels, (double) total.total(release).sent()));
                failures.dataPoint(point(labels, (double) total.total(release).failures()));
            }
        }
        CounterSnapshot rejected =
                CounterSnapshot.builder()
                        .name("godwithoist_rollout_orders_rejected")
                        .help("Rows of orders that could not be used")
                        .dataPoint(
                                CounterSnapshot.CounterDataPointSnapshot.builder()
                                        .value((double) rejectedOrders)
                                        .build())
                        .build();
        return List.of(
                shares.build(), states.build(), requests.build(), failures.build(), rejected);
    }

    private static GaugeSnapshot.Builder gauge(String name, String help) {
        return GaugeSnapshot.builder().name(name).help(help);
    }

    private static Labels labels(RolloutOrder order) {
        return Labels.of("service", order.service().value(), "to", order.to().value());
    }

    private static GaugeSnapshot.GaugeDataPointSnapshot point(Labels labels, double value) {
        return GaugeSnapshot.GaugeDataPointSnapshot.builder().labels(labels).value(value).build();
    }
}
