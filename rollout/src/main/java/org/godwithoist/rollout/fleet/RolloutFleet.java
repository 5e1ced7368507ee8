package org.godwithoist.rollout.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.godwithoist.catalog.ServiceId;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.log.EventLog;
import org.godwithoist.core.task.Supervisor;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.rollout.RolloutOrder;
import org.godwithoist.rollout.Rollouts;
import org.godwithoist.rollout.lease.LeaseStore;
import org.godwithoist.rollout.lease.LeaseTiming;
import org.godwithoist.targets.PeerLoads;

/**
 * The orders in force on this daemon. Uses one task that decides, and one for the lease of each
 * order; while there is no order, all wait and no call is made. Thread-safe.
 */
public final class RolloutFleet implements RolloutReports {
    /**
     * Interval of decisions; a bad version is left a few of them after the evidence suffices, of
     * the seconds that a rollback may take.
     */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    /**
     * Dependencies of the orders.
     *
     * @param incarnation start time of this process
     * @param stores returns a client of the store for the task of one order
     * @param preferred whether this daemon reaches the others quickly
     */
    public record Dependencies(
            HostId host,
            FailureDomainId domain,
            long incarnation,
            Rollouts rollouts,
            Supplier<LeaseStore> stores,
            LeaseTiming timing,
            BooleanSupplier preferred,
            Supervisor supervisor,
            EventLog log,
            Ticker ticker,
            RandomGenerator random) {}

    private final Dependencies dependencies;
    private final List<OrderRun> runs = new CopyOnWriteArrayList<>();
    private final CountDownLatch recalled = new CountDownLatch(1);
    private Optional<Map<ServiceId, RolloutOrder>> orders = Optional.empty();

    /** Creates an instance without orders. */
    public RolloutFleet(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /** Starts the task that decides. */
    public void start() {
        dependencies.supervisor().start("rollout-recall", this::recall);
        dependencies.supervisor().start("rollout", this::run);
    }

    /**
     * Reads the outcomes of earlier orders from the store, once. Until then, the version of most
     * targets is taken for the one in use.
     */
    private void recall() {
        try (LeaseStore store = dependencies.stores().get()) {
            while (!recall(store)) {
                if (!Tasks.sleep(dependencies.timing().retryDelay())) {
                    return;
                }
            }
        }
    }

    private boolean recall(LeaseStore store) {
        try {
            store.readHistories().forEach(dependencies.rollouts()::recall);
            recalled.countDown();
            return true;
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage());
            dependencies.log().event("rollout_recall_failed").with("reason", reason).write();
            return false;
        }
    }

    /**
     * Waits until the outcomes of earlier orders are known, but not longer than a time; requests
     * are served without them if the store does not answer.
     */
    public void awaitRecall(Duration timeout) {
        try {
            if (!recalled.await(timeout.toNanos(), TimeUnit.NANOSECONDS)) {
                dependencies.log().event("rollout_recall_late").write();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Replaces the orders; those of the first call may have begun before this daemon started. */
    public synchronized void setOrders(Map<ServiceId, RolloutOrder> next) {
        boolean isFirst = orders.isEmpty();
        Map<ServiceId, RolloutOrder> last = orders.orElse(Map.of());
        Set<ServiceId> services = new HashSet<>(last.keySet());
        services.addAll(next.keySet());
        orders = Optional.of(new HashMap<>(next));
        for (ServiceId service : services) {
            RolloutOrder current = next.get(service);
            if (current == null || !current.equals(last.get(service))) {
                end(service, current != null);
                Optional.ofNullable(current).ifPresent(o -> begin(o, isFirst));
            }
        }
        notifyAll();
    }

    private void end(ServiceId service, boolean replaced) {
        runs.stream()
                .filter(r -> r.order().service().equals(service))
                .forEach(r -> r.withdraw(replaced));
    }

    private void begin(RolloutOrder order, boolean mayBeOld) {
        OrderRun run = new OrderRun(order, mayBeOld, dependencies);
        run.open();
        runs.add(run);
        dependencies.supervisor().start("rollout-lease-" + order.id(), run.lease()::run);
    }

    /**
     * Makes the daemons that have ended an order compare the store with it, because the store was
     * restored from an older copy. Returns at once.
     */
    public void storeRestored() {
        runs.forEach(r -> r.lease().storeRestored());
    }

    private void run() {
        while (awaitOrder() && Tasks.sleep(INTERVAL)) {
            step();
        }
    }

    /** Decides once about each order. */
    void step() {
        dependencies.rollouts().update();
        runs.forEach(OrderRun::step);
        runs.removeIf(OrderRun::isOver);
    }

    /** Returns the orders in the store, also those that have ended. */
    public List<RolloutOrder> orders() {
        return runs.stream().filter(r -> !r.isWithdrawn()).map(OrderRun::order).toList();
    }

    private boolean hasReports() {
        return runs.stream().anyMatch(OrderRun::isReported);
    }

    @Override
    public synchronized boolean awaitOrder() {
        try {
            while (!hasReports()) {
                wait();
            }
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public List<RolloutReport> reports(PeerLoads.Scope scope, HostId to) {
        return runs.stream().filter(OrderRun::isReported).map(r -> r.report(scope, to)).toList();
    }

    @Override
    public void receive(HostId sender, FailureDomainId domain, RolloutReport report) {
        runs.stream()
                .filter(r -> r.isAbout(report))
                .forEach(r -> r.receive(sender, domain, report));
    }
}
