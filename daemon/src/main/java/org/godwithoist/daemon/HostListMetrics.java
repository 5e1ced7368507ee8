package org.godwithoist.daemon;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.godwithoist.membership.FleetMembership;
import org.godwithoist.membership.HostListRefresher;
import org.godwithoist.membership.HostListResult;
import org.godwithoist.membership.HostListState;

/** Metrics of the age of the host list and of its updates. */
final class HostListMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private HostListMetrics() {}

    static void register(FleetMembership membership, PrometheusRegistry registry) {
        HostListState hostList = membership.hostList();
        HostListRefresher refresher = membership.hostListRefresher();
        GaugeWithCallback.builder()
                .name("godwithoist_host_list_age_seconds")
                .help("Time since the platform returned the host list; absent without a list")
                .callback(
                        c -> hostList.age().ifPresent(a -> c.call(a.toNanos() / NANOS_PER_SECOND)))
                .register(registry);
        GaugeWithCallback.builder()
                .name("godwithoist_host_list_entries")
                .help("Entries of the host list; absent without a list")
                .callback(c -> hostList.current().ifPresent(h -> c.call(h.copy().entries().size())))
                .register(registry);
        GaugeWithCallback.builder()
                .name("godwithoist_host_list_reader")
                .help("1 if the daemon reads the host list from the platform, 0 if it pulls it")
                .callback(c -> c.call(refresher.isReader() ? 1 : 0))
                .register(registry);
        CounterWithCallback.builder()
                .name("godwithoist_host_list_updates_total")
                .help("Reads and pulls of the host list, by result")
                .labelNames("result")
                .callback(
                        c -> {
                            for (HostListResult r : HostListResult.values()) {
                                c.call((double) refresher.count(r), r.wireName());
                            }
                        })
                .register(registry);
    }
}
