package org.godwithoist.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.core.id.TargetId;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PlacementTest {
    private static final int TARGETS = 6;
    private static final Prompt HOT = prompt("hot");

    private final VirtualTicker ticker = new VirtualTicker();
    private final TargetDirectory directory = new TargetDirectory(ticker);
    private final PeerLoads peers = new PeerLoads(ticker);
    private final Placement placement =
            new Placement(
                    Samples.NORTH, () -> new ColdLimit(1.5, 2), peers, new SplittableRandom(3));

    @BeforeEach
    void list() {
        List<TargetEntry> entries = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            entries.add(Samples.entry(i));
        }
        directory.replaceAll(entries);
    }

    private static Prompt prompt(String parts) {
        return new Prompt(PromptKey.of(parts), 1000);
    }

    private Optional<Placement.Placed> begin(Prompt prompt, Set<FailureDomainId> out) {
        return begin(Optional.of(prompt), Set.of(), out);
    }

    private Optional<Placement.Placed> begin(
            Optional<Prompt> prompt, Set<TargetId> tried, Set<FailureDomainId> out) {
        PlacementRequest request =
                new PlacementRequest(Samples.models(), prompt, tried, out, Samples.ALONE);
        return placement.begin(request, directory.targets(Samples.MODELS));
    }

    private Target placeAndEnd(Prompt prompt) {
        Target target = begin(prompt, Set.of()).orElseThrow().target();
        target.end(Verdict.GOOD);
        return target;
    }

    @Nested
    final class ReturningChats {
        /** Guards against a prefix that several engines process under low load. */
        @Test
        void callsWithTheSamePartsGoToOneEngine() {
            Target first = placeAndEnd(HOT);
            for (int i = 0; i < 50; i++) {
                assertEquals(first, placeAndEnd(HOT));
            }
        }

        /** Guards against remapping keys when an engine is lost that they do not map to. */
        @Test
        void lossOfAnEngineMovesItsOwnKeysOnly() {
            List<Target> before = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                before.add(placeAndEnd(prompt("chat-" + i)));
            }
            Target lost = before.get(0);
            directory.remove(lost.id());
            for (int i = 0; i < 100; i++) {
                Target after = placeAndEnd(prompt("chat-" + i));
                if (before.get(i) != lost) {
                    assertEquals(before.get(i), after);
                }
            }
        }
    }

    /** Pattern: engines are lost, replaced or emptied ({@code srv_crash}, {@code release}). */
    @Nested
    final class KeepersOfParts {
        private Placement.Placed placeAndRead() {
            Placement.Placed placed = begin(HOT, Set.of()).orElseThrow();
            placed.target().hasRead(HOT.key());
            return placed;
        }

        /** Guards against processing a prefix again although a known engine has it cached. */
        @Test
        void engineThatHasReadThemIsNamedWhereverTheyMapTo() {
            Target first = placeAndRead().target();
            first.end(Verdict.GOOD);
            Target keeper =
                    directory.targets(Samples.MODELS).stream()
                            .filter(t -> t != first)
                            .findFirst()
                            .orElseThrow();
            keeper.hasReadForPeer(HOT.key());
            directory.remove(first.id());
            Placement.Placed next = begin(HOT, Set.of()).orElseThrow();
            if (next.target() != keeper) {
                assertEquals(Optional.of(keeper), next.holder());
            }
            next.target().hasRead(HOT.key());
            next.target().end(Verdict.GOOD);
            Placement.Placed after = begin(HOT, Set.of()).orElseThrow();
            assertEquals(next.target(), after.target());
            assertTrue(after.holder().isEmpty());
        }

        /** Guards against a prefix that a restarted daemon cannot find. */
        @Test
        void partsStayWhereTheyMapTo() {
            Target first = placeAndRead().target();
            first.end(Verdict.GOOD);
            directory.targets(Samples.MODELS).stream()
                    .filter(t -> t != first)
                    .forEach(t -> t.hasReadForPeer(HOT.key()));
            assertEquals(first, begin(HOT, Set.of()).orElseThrow().target());
        }

        /** Guards against importing a prefix from an engine that lost it in a restart. */
        @Test
        void partsAreForgottenWithTheStartOfTheEngine() {
            Target first = placeAndRead().target();
            int number = Integer.parseInt(first.id().value().substring("target-".length()));
            directory.put(Samples.bornAgain(number));
            assertTrue(
                    directory.targets(Samples.MODELS).stream()
                            .noneMatch(t -> t.hasParts(HOT.key())));
        }

        /** Guards against importing a prefix that the engine evicted long ago. */
        @Test
        void partsAreForgottenWhenNobodyUsesThem() {
            Target first = placeAndRead().target();
            ticker.advance(Duration.ofMinutes(2));
            assertTrue(!first.hasParts(HOT.key()));
        }
    }

    /** Pattern: one key gets much of the traffic ({@code hot_key}). */
    @Nested
    final class HotKey {
        /** Guards against an engine that carries far more than the mean load of its service. */
        @Test
        void callsBeyondTheSkewBoundGoToTheNextEngineOfTheKey() {
            Set<Target> used = new HashSet<>();
            for (int i = 0; i < 4; i++) {
                used.add(begin(HOT, Set.of()).orElseThrow().target());
            }
            assertEquals(2, used.size());
        }

        /**
         * Guards against processing a prefix again although the engine that was passed over has it
         * cached.
         */
        @Test
        void engineThatIsPassedOverIsNamedAsHolder() {
            Target first = begin(HOT, Set.of()).orElseThrow().target();
            Placement.Placed next = begin(HOT, Set.of()).orElseThrow();
            while (next.target() == first) {
                next = begin(HOT, Set.of()).orElseThrow();
            }
            assertEquals(Optional.of(first), next.holder());
        }

        /** Guards against sending all requests to the engine whose load is unknown. */
        @Test
        void engineWithoutAFreshReportCountsAsAverage() {
            for (Target t : directory.targets(Samples.MODELS)) {
                t.report(new LoadReport(6, 0, 8));
            }
            Target first = placeAndEnd(HOT);
            ticker.advance(Duration.ofMillis(1900));
            for (Target t : directory.targets(Samples.MODELS)) {
                if (t != first) {
                    t.report(new LoadReport(6, 0, 8));
                }
            }
            assertEquals(first, placeAndEnd(HOT));
        }
    }

    /** Pattern: a runner is many times slower than the others ({@code srv_slow}). */
    @Nested
    final class SlowEngine {
        /**
         * Guards against requests that wait at a slow engine because it has their prefix cached.
         */
        @Test
        void callsGoToTheNextEngineWhileAnAnswerIsOverdue() {
            Target slow = placeAndEnd(HOT);
            Target.Waiting call = slow.awaiting();
            ticker.advance(Duration.ofMillis(301));
            assertNotEquals(slow, placeAndEnd(HOT));
            slow.answered(call);
            ticker.advance(Duration.ofMillis(1500));
            assertEquals(slow, placeAndEnd(HOT));
        }
    }

    /** Pattern: runners are replaced one after the other ({@code release}, {@code scale_out}). */
    @Nested
    final class ReplacedEngines {
        /** Guards against a new engine processing a prefix that a draining engine has cached. */
        @Test
        void leavingEngineIsAskedForItsParts() {
            Target first = placeAndEnd(HOT);
            int number = Integer.parseInt(first.id().value().substring("target-".length()));
            directory.put(Samples.leaving(number));
            Placement.Placed next = begin(HOT, Set.of()).orElseThrow();
            assertNotEquals(first, next.target());
            assertEquals(Optional.of(first), next.holder());
        }

        /** Guards against a burst of requests that crashes a cold engine. */
        @Test
        void coldEngineGetsItsShareOnly() {
            directory.replaceAll(List.of(Samples.cold(0, Duration.ofSeconds(3))));
            int sent = 0;
            while (begin(HOT, Set.of()).isPresent()) {
                sent++;
            }
            assertEquals((int) (Samples.COLD_PER_SECOND * 1.5 + 2) - 1, sent);
            ticker.advance(Duration.ofSeconds(1));
            assertTrue(begin(HOT, Set.of()).isPresent());
        }
    }

    /** Pattern: a zone is emptied and callers retry ({@code evacuate}, {@code retry_abuse}). */
    @Nested
    final class EmptiedDomain {
        /** Returns the requests of all daemons at a target, estimated from its load reports. */
        private int load(Target target) {
            Target.Others others = target.others();
            return target.inFlight() + (int) Math.round(others.calls() * others.trust());
        }

        /**
         * Guards against an engine with over twice the mean load of all listed engines, which
         * include the empty ones out of service. Found on bench-ops, own day empty-zone-and-reuse
         * with seed 194842900725: LIMIT, 22 of 238 requests.
         */
        @Test
        void emptyEnginesOutOfServiceLowerTheBound() {
            for (Target t : directory.targets(Samples.MODELS)) {
                boolean out = t.entry().domain().equals(Samples.SOUTH);
                t.report(new LoadReport(out ? 0 : 12, 0, 64));
            }
            Set<FailureDomainId> out = Set.of(Samples.SOUTH);
            Target first = begin(HOT, out).orElseThrow().target();
            int held = load(first);
            while (begin(HOT, out).orElseThrow().target() == first) {
                held = load(first);
            }
            List<Target> all = directory.targets(Samples.MODELS);
            double mean = all.stream().mapToInt(t -> load(t)).average().orElseThrow();
            assertTrue(held <= 2 * mean + 3, "held: " + held + ", mean: " + mean);
        }
    }

    /** Pattern: a zone is emptied ({@code evacuate}) while targets fail. */
    @Nested
    final class TargetsOutOfReach {
        /** Guards against requests to a failure domain that is out of service. */
        @Test
        void domainOutOfServiceGetsNothing() {
            for (int i = 0; i < 40; i++) {
                Placement.Placed p = begin(prompt("c" + i), Set.of(Samples.SOUTH)).orElseThrow();
                assertEquals(Samples.NORTH, p.target().entry().domain());
            }
            assertTrue(begin(HOT, Set.of(Samples.SOUTH, Samples.NORTH)).isEmpty());
        }

        /** Guards against retrying a request at the target that failed it. */
        @Test
        void targetThatHadTheCallIsLeftOut() {
            Target first = placeAndEnd(HOT);
            Placement.Placed next =
                    begin(Optional.of(HOT), Set.of(first.id()), Set.of()).orElseThrow();
            assertNotEquals(first, next.target());
        }

        /** Guards against requests to an unreachable target while others are reachable. */
        @Test
        void unreachableTargetRests() {
            Target first = begin(HOT, Set.of()).orElseThrow().target();
            first.end(Verdict.UNREACHABLE);
            assertNotEquals(first, placeAndEnd(HOT));
        }

        /** Guards against rejecting all requests when every target has failed. */
        @Test
        void restingTargetsAreUsedIfThereIsNoOther() {
            for (int i = 0; i < TARGETS; i++) {
                begin(HOT, Set.of()).orElseThrow().target().end(Verdict.UNREACHABLE);
            }
            assertTrue(begin(HOT, Set.of()).isPresent());
        }
    }

    @Nested
    final class PlainCalls {
        /** Guards against requests that queue at a slow target while a fast one is free. */
        @Test
        void slowTargetGetsFewCalls() {
            List<Target> targets = directory.targets(Samples.MODELS);
            Target slow = targets.get(0);
            Map<Target, Target.Waiting> calls = new HashMap<>();
            targets.forEach(t -> calls.put(t, t.awaiting()));
            ticker.advance(Duration.ofMillis(20));
            targets.stream().filter(t -> t != slow).forEach(t -> t.answered(calls.get(t)));
            ticker.advance(Duration.ofMillis(400));
            slow.answered(calls.get(slow));
            for (int i = 0; i < 40; i++) {
                Target t = begin(Optional.empty(), Set.of(), Set.of()).orElseThrow().target();
                assertNotEquals(slow, t);
                t.end(Verdict.GOOD);
            }
        }
    }
}
