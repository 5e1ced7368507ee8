package org.godwithoist.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.godwithoist.core.id.HostId;
import org.godwithoist.core.id.OperatorName;
import org.godwithoist.core.id.PoolId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.store.HostEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrderRegistryTest {
    private static final OrderSubject DOMAIN = OrderSubject.parse("domain:d0");
    private static final OperatorName ANNA = new OperatorName("anna");

    static Order order(String subject, OrderState state, long time, String host) {
        return new Order(
                OrderSubject.parse(subject), state, new OrderStamp(time, new HostId(host)), ANNA);
    }

    @Nested
    class RacingOrders {
        /** Guards against an order issued after another one was seen but with a lower stamp. */
        @Test
        void clockAdvancesToSeenStamps() {
            OrderRegistry registry = new OrderRegistry(new HostId("a"));
            Order seen = order("host:x", OrderState.OUT, 41, "z");
            registry.merge(List.of(seen));
            assertEquals(42, registry.issue(DOMAIN, OrderState.OUT, ANNA).stamp().time());
        }

        /** Guards against an order that is replaced by one with a lower stamp. */
        @Test
        void hostBreaksTies() {
            OrderRegistry registry = new OrderRegistry(new HostId("b"));
            Order mine = registry.issue(DOMAIN, OrderState.OUT, ANNA);
            Order lower = order("domain:d0", OrderState.IN, 1, "a");
            Order higher = order("domain:d0", OrderState.IN, 1, "c");
            registry.merge(List.of(lower));
            assertEquals(Optional.of(mine), registry.find(DOMAIN));
            registry.merge(List.of(higher));
            assertEquals(Optional.of(higher), registry.find(DOMAIN));
        }

        /** Guards against disagreement when a restarted daemon uses a stamp twice. */
        @Test
        void outWinsAtEqualStamps() {
            Order in = order("domain:d0", OrderState.IN, 1, "a");
            Order out = order("domain:d0", OrderState.OUT, 1, "a");
            OrderRegistry first = new OrderRegistry(new HostId("x"));
            first.merge(List.of(in, out));
            OrderRegistry second = new OrderRegistry(new HostId("y"));
            second.merge(List.of(out, in));
            assertEquals(Optional.of(out), first.find(DOMAIN));
            assertEquals(first.digest(), second.digest());
        }
    }

    @Nested
    class Targets {
        private final OrderRegistry registry = new OrderRegistry(new HostId("a"));
        private final FleetTargets targets = new FleetTargets(registry);

        private HostEntry engine(int n, HostEntry.State state) {
            return TestDaemon.engine(n, "p" + n % 100, "d" + n % 2, state);
        }

        private ServiceState state(int n) {
            return targets.find(new TargetId("e" + n)).orElseThrow().serviceState();
        }

        /**
         * Guards against new work for a host while one of its two orders keeps it out of service.
         */
        @Test
        void domainAndHostOrdersBothApply() {
            targets.update(
                    List.of(
                            engine(0, HostEntry.State.LIVE),
                            engine(1, HostEntry.State.LEAVING),
                            engine(2, HostEntry.State.LIVE)));
            assertEquals(ServiceState.DRAINING, state(1));
            registry.issue(DOMAIN, OrderState.OUT, ANNA);
            registry.issue(OrderSubject.parse("host:t0"), OrderState.OUT, ANNA);
            assertEquals(ServiceState.OUT_OF_SERVICE, state(0));
            assertEquals(ServiceState.OUT_OF_SERVICE, state(2));
            assertEquals(ServiceState.DRAINING, state(1));
            registry.issue(DOMAIN, OrderState.IN, ANNA);
            assertEquals(ServiceState.OUT_OF_SERVICE, state(0));
            assertEquals(ServiceState.IN_SERVICE, state(2));
        }

        /**
         * Guards against callers that recompute without a change, or do not recompute after one.
         */
        @Test
        void versionIncreasesOnlyWithChanges() {
            targets.update(List.of(engine(0, HostEntry.State.LIVE)));
            long version = targets.version();
            targets.update(List.of(engine(0, HostEntry.State.LIVE)));
            registry.issue(OrderSubject.parse("host:other"), OrderState.OUT, ANNA);
            assertEquals(version, targets.version());
            registry.issue(DOMAIN, OrderState.OUT, ANNA);
            assertTrue(targets.version() > version);
        }

        /** Guards against a pool list that is rebuilt for each lookup. */
        @Test
        void lookupsReturnPreparedLists() {
            targets.update(
                    IntStream.range(0, 10_000)
                            .mapToObj(n -> engine(n, HostEntry.State.LIVE))
                            .toList());
            PoolId pool = new PoolId("p7");
            assertEquals(100, targets.targets(pool).size());
            assertSame(targets.targets(pool), targets.targets(pool));
            assertFalse(targets.find(new TargetId("none")).isPresent());
        }
    }
}
