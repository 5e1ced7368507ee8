package org.godwithoist.edge;

import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.platform.LeaseTable;
import org.godwithoist.platform.StoreCalls;
import org.godwithoist.rollout.RolloutLimits;
import org.godwithoist.rollout.RolloutOrder;
import org.godwithoist.rollout.Rollouts;
import org.godwithoist.rollout.fleet.RolloutFleet;
import org.godwithoist.rollout.lease.LeaseTiming;
import org.godwithoist.settings.EdgeSettings;
import org.godwithoist.settings.RolloutBounds;
import org.godwithoist.store.feed.StoreEras;
import org.godwithoist.targets.TargetEntry;

/** Progressive delivery on this daemon; created only where the settings bound the exposure. */
final class VersionRollout {
    /** Longer than a call to a store that works takes; delays the first targets. */
    private static final Duration MAX_RECALL_WAIT = Duration.ofSeconds(1);

    private final Rollouts rollouts;
    private final RolloutFleet fleet;

    /** Used by the task that follows the targets. */
    private boolean hasTargets;

    /**
     * Creates an instance that has not been started.
     *
     * @param incarnation start time of this process
     * @param reachesOthers whether messages of this daemon reach the others without a relay
     * @param calls counts the requests to the store
     */
    VersionRollout(
            EdgeSettings settings,
            RolloutBounds bounds,
            long incarnation,
            BooleanSupplier reachesOthers,
            StoreEras eras,
            StoreCalls calls,
            Supervisor supervisor,
            EventLog log,
            Ticker ticker,
            RandomGenerator random) {
        rollouts = new Rollouts(limits(bounds), ticker);
        fleet =
                new RolloutFleet(
                        new RolloutFleet.Dependencies(
                                settings.host(),
                                settings.failureDomain(),
                                incarnation,
                                rollouts,
                                () -> new LeaseTable(settings.store(), eras, calls, ticker),
                                LeaseTiming.DEFAULT,
                                reachesOthers,
                                supervisor,
                                log,
                                ticker,
                                random));
    }

    private static RolloutLimits limits(RolloutBounds bounds) {
        return RolloutLimits.builder()
                .exposureShare(bounds.exposureShare())
                .exposureSlack(bounds.exposureSlack())
                .rollback(bounds.rollback())
                .build();
    }

    Rollouts rollouts() {
        return rollouts;
    }

    RolloutFleet fleet() {
        return fleet;
    }

    /** Returns the metrics of all orders. */
    List<MetricSnapshot> metrics(long rejectedOrders) {
        return RolloutMetrics.of(rollouts, fleet.orders(), rejectedOrders);
    }

    /** Replaces the targets; the first time, after the outcomes of earlier orders are known. */
    void setTargets(Collection<TargetEntry> entries) {
        if (!hasTargets) {
            hasTargets = true;
            fleet.awaitRecall(MAX_RECALL_WAIT);
        }
        rollouts.setTargets(entries);
    }

    void setOrders(Map<ServiceId, RolloutOrder> orders) {
        fleet.setOrders(orders);
    }
}
