package org.godwithoist.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.godwithoist.bundle.AdmissionLimits;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.FencingMode;
import org.godwithoist.bundle.Model;
import org.godwithoist.bundle.Pool;
import org.godwithoist.core.id.Endpoint;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.membership.HostListDirectory;
import org.godwithoist.membership.Target;
import org.godwithoist.store.HostEntry;
import org.godwithoist.store.Table;
import org.godwithoist.store.fake.FakeTableStore;
import org.godwithoist.store.fake.StoreFault;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against duplicate orders, orders of a holder whose lease has expired, and model loads
 * above the rate limit of the weight store.
 */
class OrderDispatcherTest {
    private static final PoolId POOL = new PoolId("assistants");
    private static final TargetId ENGINE = new TargetId("engine-1");

    private final VirtualTicker ticker = new VirtualTicker();
    private final FakeTableStore store = new FakeTableStore();
    private final HostListDirectory targets = new HostListDirectory();
    private final FakeEngine engine = new FakeEngine();
    private int weightPermits = Integer.MAX_VALUE;

    /** Engine that rejects orders with an old fencing number and records those that it executes. */
    private static final class FakeEngine implements EngineOrderClient {
        private final List<String> executed = new ArrayList<>();
        private long highestFencing;

        @Override
        public Uni<Result> send(Target target, EngineOrder order, long fencing) {
            if (fencing < highestFencing) {
                return Uni.createFrom().item(Result.FENCED);
            }
            highestFencing = fencing;
            executed.add(order.kind() + " " + order.name() + " " + order.version());
            return Uni.createFrom().item(Result.DONE);
        }
    }

    private OrderDispatcher dispatcher(String host, FencingMode mode) {
        targets.update(
                List.of(
                        new HostEntry(
                                new HostId("h"),
                                HostEntry.Kind.ENGINE,
                                Optional.of(ENGINE),
                                Optional.of(POOL),
                                new FailureDomainId("d"),
                                new Endpoint("127.0.0.1", 1),
                                HostEntry.State.LIVE)));
        Pool pool = new Pool(POOL, Pool.Kind.ENGINE, 1, AdmissionLimits.DEFAULT, mode, 0);
        Model model = new Model(new ModelId("assistant"), POOL, "7", List.of("rings"));
        Bundle bundle = Bundle.of(List.of(), List.of(model), List.of(pool), List.of(), List.of());
        return new OrderDispatcher(
                new HostId(host),
                POOL,
                () -> Optional.of(bundle),
                targets,
                store,
                m -> CompletableFuture.completedFuture(weightPermits-- > 0),
                engine,
                t -> Optional.of("1"),
                () -> true,
                ticker);
    }

    @Nested
    class WhenAnEngineJoins {
        @Test
        void itLoadsTheModelAndThenItsAdapters() {
            OrderDispatcher d = dispatcher("a", FencingMode.CHECKED);
            d.runRound();
            d.runRound();
            assertEquals(
                    List.of("LOAD_MODEL assistant 7", "LOAD_ADAPTER rings 7"), engine.executed);
        }
    }

    @Nested
    class WhenTheWeightStoreLimitsTheRate {
        @Test
        void ordersAreDeferred() {
            weightPermits = 1;
            OrderDispatcher d = dispatcher("a", FencingMode.CHECKED);
            d.runRound();
            assertEquals(List.of("LOAD_MODEL assistant 7"), engine.executed);
            weightPermits = 1;
            d.runRound();
            assertEquals(2, engine.executed.size());
        }
    }

    @Nested
    class WhenTwoDaemonsRace {
        @Test
        void onlyTheHolderSendsOrders() {
            OrderDispatcher a = dispatcher("a", FencingMode.CHECKED);
            OrderDispatcher b = dispatcher("b", FencingMode.CHECKED);
            a.runRound();
            b.runRound();
            assertEquals(2, engine.executed.size());
        }

        @Test
        void anEngineRejectsAHolderThatResumesAfterAPause() {
            OrderDispatcher a = dispatcher("a", FencingMode.CHECKED);
            OrderDispatcher b = dispatcher("b", FencingMode.CHECKED);
            weightPermits = 0;
            a.runRound();
            b.runRound();
            ticker.advance(OrderLease.DURATION.plus(Duration.ofSeconds(1)));
            weightPermits = 2;
            b.runRound();
            assertEquals(2, engine.executed.size());
            assertEquals(2, engine.highestFencing);
            assertEquals(
                    EngineOrderClient.Result.FENCED,
                    engine.send(null, null, 1).await().indefinitely());
        }

        @Test
        void theNextHolderWaitsWhereFencingIsIgnored() {
            OrderDispatcher a = dispatcher("a", FencingMode.IGNORED);
            OrderDispatcher b = dispatcher("b", FencingMode.IGNORED);
            weightPermits = 0;
            a.runRound();
            b.runRound();
            weightPermits = 10;
            ticker.advance(OrderLease.DURATION.plus(Duration.ofSeconds(1)));
            b.runRound();
            assertTrue(engine.executed.isEmpty());
        }
    }

    @Nested
    class WhenTheStoreLosesAResponse {
        @Test
        void theHolderConfirmsItsWriteByReadingTheRecord() {
            store.faultNextCommit(StoreFault.ANSWER_LOST);
            dispatcher("a", FencingMode.CHECKED).runRound();
            assertEquals(2, engine.executed.size());
        }

        @Test
        void aLostRequestLeavesTheLeaseUnheld() {
            store.faultNextCommit(StoreFault.REQUEST_LOST);
            dispatcher("a", FencingMode.CHECKED).runRound();
            assertTrue(engine.executed.isEmpty());
            assertTrue(store.read(Table.ENGINE_ORDER, POOL.value()).join().isEmpty());
        }
    }
}
