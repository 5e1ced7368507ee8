package org.godwithoist.orders;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.task.Await;
import org.godwithoist.core.task.Tasks;
import org.godwithoist.core.time.Ticker;
import org.godwithoist.membership.Target;
import org.godwithoist.membership.TargetDirectory;
import org.godwithoist.store.ConditionFailedException;
import org.godwithoist.store.OutcomeUnknownException;
import org.godwithoist.store.Row;
import org.godwithoist.store.Table;
import org.godwithoist.store.TableStore;
import org.godwithoist.store.WeightStore;
import org.godwithoist.store.Write;

/**
 * Brings the engines of one pool to the state that the bundle requires. Each pool has its own
 * dispatcher and task; only the holder of the pool's lease sends orders. Not thread-safe.
 */
public final class OrderDispatcher {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);

    private final PoolId pool;
    private final Supplier<Optional<Bundle>> bundle;
    private final TargetDirectory targets;
    private final TableStore store;
    private final WeightStore weightStore;
    private final EngineOrderClient engineClient;
    private final IncarnationSource incarnationSource;
    private final BooleanSupplier isCandidate;
    private final Ticker ticker;
    private final OrderLease lease;
    private final Map<TargetId, EngineState> engineStates = new HashMap<>();

    /** Source of the incarnations of engines, as reported in their load reports. */
    @FunctionalInterface
    public interface IncarnationSource {
        /** Returns the incarnation of an engine, or empty if it has not reported yet. */
        Optional<String> incarnation(TargetId target);
    }

    /**
     * Creates the dispatcher of a pool; {@link #start} runs it.
     *
     * @param isCandidate whether this daemon may acquire the lease; only a few daemons of the fleet
     *     should, because each candidate reads the lease record in every round
     */
    public OrderDispatcher(
            HostId self,
            PoolId pool,
            Supplier<Optional<Bundle>> bundle,
            TargetDirectory targets,
            TableStore store,
            WeightStore weightStore,
            EngineOrderClient engineClient,
            IncarnationSource incarnationSource,
            BooleanSupplier isCandidate,
            Ticker ticker) {
        this.pool = pool;
        this.bundle = bundle;
        this.targets = targets;
        this.store = store;
        this.weightStore = weightStore;
        this.engineClient = engineClient;
        this.incarnationSource = incarnationSource;
        this.isCandidate = isCandidate;
        this.ticker = ticker;
        this.lease = new OrderLease(self, ticker);
    }

    /** Starts the task, which runs until it is interrupted. */
    public Thread start() {
        return Tasks.start("orders-" + pool, this::run);
    }

    private void run() {
        do {
            try {
                runRound();
            } catch (RuntimeException e) {
                LOG.atWarning().withCause(e).log(
                        "order round of pool %s failed; retrying in the next round", pool);
            }
        } while (Tasks.sleep(ROUND_INTERVAL));
    }

    /** Runs one round: acquires or renews the lease and sends the outstanding orders. */
    void runRound() {
        if (!isCandidate.getAsBoolean() && !lease.maySendOrders()) {
            return;
        }
        acquireOrRenewLease();
        Optional<Bundle> current = bundle.get();
        Optional<Pool> configuredPool = current.map(b -> b.pools().get(pool));
        if (configuredPool.isEmpty() || !lease.maySendOrders(configuredPool.get().fencing())) {
            return;
        }
        for (EngineOrder order : OrderPlan.missing(current.get(), pool, knownEngineStates())) {
            if (!dispatch(order)) {
                return;
            }
        }
    }

    // ---- lease

    private void acquireOrRenewLease() {
        Optional<Row> row =
                Await.result(store.read(Table.ENGINE_ORDER, pool.value()), STORE_TIMEOUT);
        lease.observe(row.map(r -> OrderRows.decode(r.value())));
        OrderLease.Step step = lease.nextStep();
        if (!step.writes()) {
            return;
        }
        OrderLease.LeaseRecord nextRecord = lease.nextRecord();
        long sentAtNanos = ticker.nanos();
        Write write =
                new Write(
                        Table.ENGINE_ORDER,
                        pool.value(),
                        row.map(Row::version).orElse(Write.ABSENT),
                        Optional.of(OrderRows.encode(nextRecord)));
        try {
            Await.result(store.commit(List.of(write)), STORE_TIMEOUT);
            lease.recordWrite(nextRecord, sentAtNanos);
            if (step == OrderLease.Step.ACQUIRE) {
                engineStates.clear();
            }
        } catch (ConditionFailedException e) {
            LOG.atInfo().log("another daemon wrote the order lease of pool %s first", pool);
        } catch (OutcomeUnknownException e) {
            // Holder, epoch and renewal identify the write, so reading the record shows its
            // outcome.
            confirmWrite(nextRecord, sentAtNanos, step);
        }
    }

    private void confirmWrite(
            OrderLease.LeaseRecord nextRecord, long sentAtNanos, OrderLease.Step step) {
        Optional<Row> row =
                Await.result(store.read(Table.ENGINE_ORDER, pool.value()), STORE_TIMEOUT);
        if (row.map(r -> OrderRows.decode(r.value()).equals(nextRecord)).orElse(false)) {
            lease.recordWrite(nextRecord, sentAtNanos);
            if (step == OrderLease.Step.ACQUIRE) {
                engineStates.clear();
            }
        }
    }

    // ---- orders

    private List<EngineState> knownEngineStates() {
        return targets.targets(pool).stream()
                .filter(t -> t.serviceState().acceptsWork())
                .map(Target::id)
                .flatMap(id -> incarnationSource.incarnation(id).map(i -> state(id, i)).stream())
                .toList();
    }

    private EngineState state(TargetId id, String incarnation) {
        return engineStates.compute(
                id,
                (k, old) ->
                        old == null || !old.incarnation().equals(incarnation)
                                ? EngineState.empty(id, incarnation)
                                : old);
    }

    /** Sends an order; returns false if no further order may be sent in this round. */
    private boolean dispatch(EngineOrder order) {
        if (order.kind().readsWeights()
                && !Await.result(weightStore.acquire(order.model()), STORE_TIMEOUT)) {
            return false;
        }
        Optional<Target> engine = targets.find(order.target());
        if (engine.isEmpty()) {
            return true;
        }
        if (!lease.maySendOrders()) {
            return false;
        }
        EngineOrderClient.Result result =
                Await.result(
                        engineClient.send(engine.get(), order, lease.fencingNumber()),
                        ORDER_TIMEOUT);
        if (result == EngineOrderClient.Result.FENCED) {
            LOG.atWarning().log(
                    "engine %s rejected an order with fencing number %d, because another daemon holds the lease",
                    engine.get().id(), lease.fencingNumber());
            return false;
        }
        engineStates.computeIfPresent(order.target(), (id, s) -> s.withExecuted(order));
        return true;
    }
}
