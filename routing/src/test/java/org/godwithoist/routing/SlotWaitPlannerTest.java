package org.godwithoist.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.godwithoist.core.time.Deadline;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SlotWaitPlannerTest {
    private final VirtualTicker ticker = new VirtualTicker();
    private final FakeTargets targets = new FakeTargets(2);
    private final SlotWaitPlanner planner =
            new SlotWaitPlanner(ticker, Deadline.after(Duration.ofSeconds(10), ticker));

    /** The history is cached at target 0; the prefill at target 1 takes 400 ms longer. */
    private List<RouteOption> options(double cachedWaitMs, double otherWaitMs) {
        RouteOption cached = option(0, CacheStrategy.REUSE, cachedWaitMs, 20);
        RouteOption other = option(1, CacheStrategy.PREFILL, otherWaitMs, 420);
        return cached.costMs() <= other.costMs() ? List.of(cached, other) : List.of(other, cached);
    }

    private RouteOption option(
            int number, CacheStrategy strategy, double waitMs, double serviceMs) {
        return new RouteOption(
                targets.find(FakeTargets.id(number)).orElseThrow(),
                strategy,
                waitMs,
                waitMs + serviceMs);
    }

    private void assertWaitsAt(int number, SlotWaitPlanner.Step step) {
        assertEquals(FakeTargets.id(number), step.option().target().id());
    }

    @Nested
    class FirstChoice {
        /** Guards against a fixed maximum wait that abandons a cache worth more than the wait. */
        @Test
        void isAbandonedOnceTheWaitCostsMoreThanThePrefill() {
            assertWaitsAt(0, planner.next(options(100, 0)));
            ticker.advance(Duration.ofMillis(399));
            assertWaitsAt(0, planner.next(options(100, 0)));
            ticker.advance(Duration.ofMillis(1));
            assertWaitsAt(1, planner.next(options(100, 0)));
            assertEquals(Set.of(FakeTargets.id(0), FakeTargets.id(1)), planner.triedTargets());
        }

        /**
         * Guards against a request that leaves because its own demand increases the reported wait.
         */
        @Test
        void isKeptWhileItsReportedWaitGrows() {
            assertWaitsAt(0, planner.next(options(100, 0)));
            ticker.advance(Duration.ofMillis(5));
            assertWaitsAt(0, planner.next(options(900, 0)));
        }

        /** Guards against decisions by data of the owner that are older than 250 ms. */
        @Test
        void isComparedAgainAfterTheCompareInterval() {
            assertEquals(SlotWaitPlanner.COMPARE_INTERVAL, planner.next(options(100, 0)).maxWait());
        }

        /** Guards against a wait that leaves no time for the prefill. */
        @Test
        void maximumWaitLeavesTimeForThePrefill() {
            ticker.advance(Duration.ofMillis(9_900));
            assertEquals(Duration.ofMillis(80), planner.next(options(100, 0)).maxWait());
        }
    }

    @Nested
    class AllTargetsFull {
        /** Guards against requests that change their target with each response of the owner. */
        @Test
        void requestKeepsItsTargetForAnIntervalOnceAllWereTried() {
            planner.next(options(1, 0));
            ticker.advance(Duration.ofMillis(400));
            planner.next(options(1, 0));
            ticker.advance(Duration.ofSeconds(2));
            SlotWaitPlanner.Step nextStep = planner.next(options(1, 0));
            ticker.advance(Duration.ofMillis(100));
            assertEquals(nextStep.option(), planner.next(options(1, 0)).option());
            assertTrue(nextStep.maxWait().compareTo(Duration.ofMillis(200)) > 0);
        }
    }
}
